"""What this sidecar knows of each request: its phase and its outcome."""

import enum
import time
from collections import OrderedDict
from dataclasses import dataclass

from skylarkdoor import invariants
from skylarkdoord.exceptions import TransitionError

GRANT_TIMEOUT_S = 2.0
RETENTION_S = 600.0
MAX_ENDED = 20_000

DISPATCHED_ONCE = invariants.define(
    "dispatched_once", "A request is dispatched at most once by an incarnation."
)
NOT_RUN_IS_TRUE = invariants.define(
    "not_run_is_true", "A request answered as not run was never dispatched."
)


class Phase(enum.StrEnum):
    """How far a request has come at this sidecar."""

    WAITING = "waiting"
    GRANTED = "granted"
    ACCEPTED = "accepted"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    TOMBSTONED = "tombstoned"


ENDED = (Phase.FINISHED, Phase.TOMBSTONED)


@dataclass
class LedgerEntry:
    """One request's state.

    Attributes:
        request_id: Its identity.
        phase: How far it has come.
        grant: Number of the grant in force, 0 for none.
        granted_at: Monotonic time of that grant, in seconds.
        dispatches: Times that it was given to the upstream.
        outcome: What came of it, once finished.
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
    """Phases of requests, with every move checked.

    Args:
        incarnation: Number of this life of the process.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.entries: dict[str, LedgerEntry] = {}
        self.ended: OrderedDict[str, LedgerEntry] = OrderedDict()
        self.last_grant = 0
        self.forgotten_grant = 0

    def find(self, request_id: str) -> LedgerEntry | None:
        """Return what is known of a request."""
        return self.entries.get(request_id) or self.ended.get(request_id)

    def phase(self, request_id: str) -> Phase | None:
        """Return how far a request has come, None if it is not known."""
        entry = self.find(request_id)
        return None if entry is None else entry.phase

    def wait(self, request_id: str) -> bool:
        """Note an offer that waits.

        Returns:
            Whether the request may wait here: it is not known yet.
        """
        if self.find(request_id) is not None:
            return False
        self.entries[request_id] = LedgerEntry(request_id, Phase.WAITING)
        return True

    def grant(self, request_id: str) -> int:
        """Reserve room for a waiting request; returns the grant's number."""
        entry = self._expect(request_id, Phase.WAITING)
        self.last_grant += 1
        entry.phase = Phase.GRANTED
        entry.grant = self.last_grant
        entry.granted_at = time.monotonic()
        return self.last_grant

    def accept(self, request_id: str, grant: int, incarnation: int) -> None:
        """Take the body of a granted request.

        Raises:
            TransitionError: The grant is not in force here.
        """
        if incarnation != self.incarnation:
            raise TransitionError("the grant is of another incarnation")
        entry = self._expect(request_id, Phase.GRANTED)
        if entry.grant != grant:
            raise TransitionError("the grant is no longer in force")
        # A process that was paused may read a body before its timers run.
        if time.monotonic() - entry.granted_at > GRANT_TIMEOUT_S:
            raise TransitionError("the grant has lapsed")
        entry.phase = Phase.ACCEPTED

    def dispatch(self, request_id: str) -> None:
        """Mark a request as given to the upstream, just before it is."""
        entry = self._expect(request_id, Phase.ACCEPTED)
        entry.dispatches += 1
        invariants.check(DISPATCHED_ONCE, entry.dispatches == 1, request_id=request_id)
        entry.phase = Phase.DISPATCHED

    def undo_dispatch(self, request_id: str) -> None:
        """Take a mark back: no connection to the upstream could be opened."""
        entry = self._expect(request_id, Phase.DISPATCHED)
        entry.dispatches -= 1
        entry.phase = Phase.ACCEPTED

    def finish(self, request_id: str, outcome: str) -> None:
        """Note what came of a dispatched request."""
        entry = self._expect(request_id, Phase.DISPATCHED)
        entry.outcome = outcome
        self._end(entry, Phase.FINISHED)

    def release(self, request_id: str) -> None:
        """Forget a request that has not begun; it may be offered again."""
        entry = self.entries.get(request_id)
        if entry is None:
            return
        if entry.phase not in (Phase.WAITING, Phase.GRANTED):
            raise TransitionError(f"{request_id} is {entry.phase}")
        del self.entries[request_id]

    def tombstone(self, request_id: str) -> Phase:
        """Make sure that a request that has not been dispatched never is.

        Returns:
            The phase after the call: tombstoned, or how far it has come.
        """
        entry = self.find(request_id)
        if entry is None:
            entry = LedgerEntry(request_id, Phase.WAITING)
            self.entries[request_id] = entry
        if entry.phase in (Phase.WAITING, Phase.GRANTED, Phase.ACCEPTED):
            invariants.check(
                NOT_RUN_IS_TRUE, entry.dispatches == 0, request_id=request_id
            )
            self._end(entry, Phase.TOMBSTONED)
        return entry.phase

    def is_forgotten(self, request_id: str, grant: int) -> bool:
        """Return whether a granted request may have ended and been forgotten."""
        return self.find(request_id) is None and grant <= self.forgotten_grant

    def count(self, *phases: Phase) -> int:
        """Return how many requests are in the phases."""
        return sum(entry.phase in phases for entry in self.entries.values())

    def _expect(self, request_id: str, phase: Phase) -> LedgerEntry:
        entry = self.find(request_id)
        if entry is None:
            raise TransitionError(f"{request_id} is not known")
        if entry.phase is not phase:
            raise TransitionError(f"{request_id} is {entry.phase}, not {phase}")
        return entry

    def _end(self, entry: LedgerEntry, phase: Phase) -> None:
        entry.phase = phase
        entry.ended_at = time.monotonic()
        self.entries.pop(entry.request_id, None)
        self.ended[entry.request_id] = entry
        self._forget_old()

    def _forget_old(self) -> None:
        horizon = time.monotonic() - RETENTION_S
        while self.ended:
            oldest = next(iter(self.ended.values()))
            if oldest.ended_at > horizon and len(self.ended) <= MAX_ENDED:
                return
            self.ended.popitem(last=False)
            self.forgotten_grant = max(self.forgotten_grant, oldest.grant)
