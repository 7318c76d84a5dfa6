"""Recent runs of idempotent calls with a key; retries join them."""

import asyncio
import time
from collections import OrderedDict
from typing import NamedTuple

from skylarkdoord.sidecar._claim_rows import CompleteAnswer

MAX_RUNS = 256
MAX_BODY_BYTES = 64 * 1024
RETENTION_S = 60.0


class RunKey(NamedTuple):
    """Identifies the runs of the same call.

    Attributes:
        identity: Customer and hashed idempotency key.
        call_hash: Hash of the call.
    """

    identity: str
    call_hash: str


class Run(NamedTuple):
    """A run of a call.

    Attributes:
        began_at: Monotonic time of its start, in seconds.
        answer: Future of its answer, None without a complete answer.
    """

    began_at: float
    answer: "asyncio.Future[CompleteAnswer | None]"


class RecentRuns:
    """Keeps at most `MAX_RUNS` runs, and their answers for `RETENTION_S`."""

    def __init__(self) -> None:
        self.runs: OrderedDict[RunKey, Run] = OrderedDict()

    def find(self, key: RunKey) -> Run | None:
        """Return the running or recently ended run of a call, None without one."""
        run = self.runs.get(key)
        if run is None or not run.answer.done():
            return run
        if time.monotonic() - run.began_at > RETENTION_S:
            del self.runs[key]
            return None
        return run

    def begin(self, key: RunKey) -> None:
        """Add a run that starts; the oldest runs beyond `MAX_RUNS` are evicted."""
        answer = asyncio.get_running_loop().create_future()
        self.runs[key] = Run(time.monotonic(), answer)
        while len(self.runs) > MAX_RUNS:
            _, oldest = self.runs.popitem(last=False)
            if not oldest.answer.done():
                oldest.answer.set_result(None)

    def end(self, key: RunKey, answer: CompleteAnswer | None) -> None:
        """Deliver a run's answer to the calls that joined it.

        Answers of up to `MAX_BODY_BYTES` are kept for later retries.
        """
        run = self.runs.get(key)
        if run is None or run.answer.done():
            return
        run.answer.set_result(answer)
        if answer is None or len(answer.body) > MAX_BODY_BYTES:
            del self.runs[key]
