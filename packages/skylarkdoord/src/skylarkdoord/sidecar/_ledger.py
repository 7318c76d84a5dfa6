"""Records the phase and outcome of each request at this sidecar."""

import enum
import time
from collections import OrderedDict
from dataclasses import dataclass

from skylarkdoor import invariants
from skylarkdoord.exceptions import TransitionError

GRANT_TIMEOUT_S = 2.0
# Bounds on the records of ended requests.
RETENTION_S = 600.0
MAX_ENDED = 20_000

DISPATCHED_ONCE = invariants.define(
    "dispatched_once", "A request is dispatched at most once by an incarnation."
)
NOT_RUN_IS_TRUE = invariants.define(
    "not_run_is_true", "A request answered as not run was never dispatched."
)


class Phase(enum.StrEnum):
    """Phase of a request at this sidecar."""

    WAITING = "waiting"
    GRANTED = "granted"
    ACCEPTED = "accepted"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    TOMBSTONED = "tombstoned"


ENDED = (Phase.FINISHED, Phase.TOMBSTONED)


@dataclass
class LedgerRecord:
    """State of one request.

    Attributes:
        request_id: Identifier of the request.
        phase: Current phase.
        grant: Number of the latest grant, 0 for none.
        granted_at: Monotonic time of that grant, in seconds.
        dispatches: Number of times that it was dispatched to the upstream.
        outcome: Outcome, once finished.
        ended_at: Monotonic time at which it ended, in seconds.
    """

    request_id: str
    phase: Phase
    grant: int = 0
    granted_at: float = 0.0
    dispatches: int = 0
    outcome: str = ""
    ended_at: float = 0.0


class Ledger:
    """Phases of requests; every transition is checked.

    A tombstone marks a request that was not dispatched and never will be.

    Args:
        incarnation: Number of this incarnation of the process.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.active: dict[str, LedgerRecord] = {}
        self.ended: OrderedDict[str, LedgerRecord] = OrderedDict()
        self.last_grant = 0
        self.last_evicted_grant = 0

    def find(self, request_id: str) -> LedgerRecord | None:
        """Return the record of a request, None if there is none."""
        return self.active.get(request_id) or self.ended.get(request_id)

    def phase(self, request_id: str) -> Phase | None:
        """Return the phase of a request, None if it is unknown."""
        record = self.find(request_id)
        return None if record is None else record.phase

    def wait(self, request_id: str) -> bool:
        """Add a waiting request.

        Returns:
            False if the request is already known.
        """
        if self.find(request_id) is not None:
            return False
        self.active[request_id] = LedgerRecord(request_id, Phase.WAITING)
        return True

    def grant(self, request_id: str) -> int:
        """Grant a waiting request and return the number of the grant.

        Raises:
            TransitionError: The request is not waiting.
        """
        record = self._expect(request_id, Phase.WAITING)
        self.last_grant += 1
        record.phase = Phase.GRANTED
        record.grant = self.last_grant
        record.granted_at = time.monotonic()
        return self.last_grant

    def accept(self, request_id: str, grant: int, incarnation: int) -> None:
        """Accept the body of a granted request.

        Raises:
            TransitionError: The grant is unknown, expired, replaced, or from
                another incarnation.
        """
        if incarnation != self.incarnation:
            raise TransitionError("the grant is from another incarnation")
        record = self._expect(request_id, Phase.GRANTED)
        if record.grant != grant:
            raise TransitionError("the grant is not the current one of the request")
        # After a pause, the process may read a body before the expiry timer runs.
        if time.monotonic() - record.granted_at > GRANT_TIMEOUT_S:
            raise TransitionError("the grant has expired")
        record.phase = Phase.ACCEPTED

    def dispatch(self, request_id: str) -> None:
        """Mark an accepted request as dispatched, immediately before sending it.

        Raises:
            TransitionError: The request is not accepted.
        """
        record = self._expect(request_id, Phase.ACCEPTED)
        record.dispatches += 1
        invariants.check(DISPATCHED_ONCE, record.dispatches == 1, request_id=request_id)
        record.phase = Phase.DISPATCHED

    def undo_dispatch(self, request_id: str) -> None:
        """Undo `dispatch` if no connection to the upstream could be opened.

        Raises:
            TransitionError: The request is not dispatched.
        """
        record = self._expect(request_id, Phase.DISPATCHED)
        record.dispatches -= 1
        record.phase = Phase.ACCEPTED

    def finish(self, request_id: str, outcome: str) -> None:
        """Record the outcome of a dispatched request.

        Raises:
            TransitionError: The request is not dispatched.
        """
        record = self._expect(request_id, Phase.DISPATCHED)
        record.outcome = outcome
        self._end(record, Phase.FINISHED)

    def release(self, request_id: str) -> None:
        """Remove a waiting or granted request, so that it may be offered again.

        Raises:
            TransitionError: The request is in a later phase.
        """
        record = self.active.get(request_id)
        if record is None:
            return
        if record.phase not in (Phase.WAITING, Phase.GRANTED):
            raise TransitionError(f"request {request_id} is already {record.phase}")
        del self.active[request_id]

    def tombstone(self, request_id: str) -> Phase:
        """Prevent a request that has not been dispatched from being dispatched.

        Returns:
            The phase after the call: `TOMBSTONED`, or the phase of a request that
            was dispatched before.
        """
        record = self.find(request_id)
        if record is None:
            record = LedgerRecord(request_id, Phase.WAITING)
            self.active[request_id] = record
        if record.phase in (Phase.WAITING, Phase.GRANTED, Phase.ACCEPTED):
            invariants.check(
                NOT_RUN_IS_TRUE, record.dispatches == 0, request_id=request_id
            )
            self._end(record, Phase.TOMBSTONED)
        return record.phase

    def may_be_evicted(self, request_id: str, grant: int) -> bool:
        """Return whether the record of a granted request may have been evicted."""
        return self.find(request_id) is None and grant <= self.last_evicted_grant

    def count(self, *phases: Phase) -> int:
        """Return the number of requests in the given phases."""
        return sum(record.phase in phases for record in self.active.values())

    def _expect(self, request_id: str, phase: Phase) -> LedgerRecord:
        record = self.find(request_id)
        if record is None:
            raise TransitionError(f"request {request_id} is unknown")
        if record.phase is not phase:
            raise TransitionError(
                f"request {request_id} is {record.phase}, expected {phase}"
            )
        return record

    def _end(self, record: LedgerRecord, phase: Phase) -> None:
        record.phase = phase
        record.ended_at = time.monotonic()
        self.active.pop(record.request_id, None)
        self.ended[record.request_id] = record
        self._evict_ended()

    def _evict_ended(self) -> None:
        horizon = time.monotonic() - RETENTION_S
        while self.ended:
            oldest = next(iter(self.ended.values()))
            if oldest.ended_at > horizon and len(self.ended) <= MAX_ENDED:
                return
            self.ended.popitem(last=False)
            self.last_evicted_grant = max(self.last_evicted_grant, oldest.grant)
