"""Recent runs of keyed idempotent calls, for their resends to join."""

import asyncio
import time
from collections import OrderedDict
from typing import NamedTuple

from skylarkdoord.sidecar._claim_rows import WholeAnswer

MAX_RUNS = 256
MAX_BODY_BYTES = 64 * 1024
RETENTION_S = 60.0


class RunKey(NamedTuple):
    """What makes two calls the same.

    Attributes:
        identity: The customer and its key.
        call_hash: Hash of the call.
    """

    identity: str
    call_hash: str


class Run(NamedTuple):
    """A run and its answer, None if it brought no whole one."""

    began_at: float
    answer: "asyncio.Future[WholeAnswer | None]"


class RecentRuns:
    """Remembers a bounded number of runs for a bounded time."""

    def __init__(self) -> None:
        self.runs: OrderedDict[RunKey, Run] = OrderedDict()

    def find(self, key: RunKey) -> Run | None:
        """Return the run of a call that still runs or ended a short time ago."""
        run = self.runs.get(key)
        if run is None or not run.answer.done():
            return run
        if time.monotonic() - run.began_at > RETENTION_S:
            del self.runs[key]
            return None
        return run

    def begin(self, key: RunKey) -> None:
        """Remember a run that begins."""
        answer = asyncio.get_running_loop().create_future()
        self.runs[key] = Run(time.monotonic(), answer)
        while len(self.runs) > MAX_RUNS:
            _, oldest = self.runs.popitem(last=False)
            if not oldest.answer.done():
                oldest.answer.set_result(None)

    def end(self, key: RunKey, answer: WholeAnswer | None) -> None:
        """Give a run's answer to those that wait for it, and keep a small one."""
        run = self.runs.get(key)
        if run is None or run.answer.done():
            return
        run.answer.set_result(answer)
        if answer is None or len(answer.body) > MAX_BODY_BYTES:
            del self.runs[key]
