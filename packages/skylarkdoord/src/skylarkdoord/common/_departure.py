"""Whether this process takes work, and why not."""

import time
from collections.abc import Callable
from typing import Any

from skylarkdoor import events, invariants
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord.common._internal import InternalServer

LEAVING_BOUND_S = 2.0

SHUTDOWN = "shutdown"
OPERATOR = "operator"
LISTED = "listed"

NO_WORK_AFTER_LEAVING = invariants.define(
    "no_work_after_leaving",
    "An instance that is leaving takes no new work after a bounded time.",
)

Listener = Callable[[str, bool], None]


class Departure:
    """The reasons for which a process is leaving.

    Shutdown and an operator's drain are final. The instance list is believed
    both ways, since it may show a former life of the instance for a while.
    """

    name = "departure"
    requires: tuple[str, ...] = ("settings",)

    def __init__(self) -> None:
        self.reasons: set[str] = set()
        self.since: float | None = None
        self.listeners: list[Listener] = []
        self.log = events.get_logger("departure")

    async def start(self, kernel: Kernel) -> None:
        """Show the state in `/readyz` and `/status`."""
        internal = kernel.find("internal", InternalServer)
        internal.add_ready_check("leaving", lambda: not self.is_leaving)
        internal.add_status("leaving", lambda: sorted(self.reasons))

    async def stop(self) -> None:
        """Nothing is held."""

    @property
    def is_leaving(self) -> bool:
        """Whether there is a reason to leave."""
        return bool(self.reasons)

    @property
    def age_s(self) -> float:
        """For how long the process has been leaving, in seconds."""
        return 0.0 if self.since is None else time.monotonic() - self.since

    def leave(self, reason: str) -> None:
        """Take no new work any more; the listeners hear it if that is new."""
        was_leaving = self.is_leaving
        self.reasons.add(reason)
        if not was_leaving:
            self.since = time.monotonic()
            self.log.event(_events.DRAIN_STARTED, reason=reason)
            self._tell(reason)

    def rejoin(self, reason: str) -> None:
        """Drop a reason; without any left, work is taken again."""
        if reason not in self.reasons:
            return
        self.reasons.discard(reason)
        if not self.is_leaving:
            self.since = None
            self.log.event(_events.DRAIN_CANCELLED, reason=reason)
            self._tell(reason)

    def check_new_work(self, **detail: Any) -> None:
        """Assert that new work may be taken; to be called wherever it is."""
        invariants.check(
            NO_WORK_AFTER_LEAVING,
            self.age_s <= LEAVING_BOUND_S,
            reasons=sorted(self.reasons),
            **detail,
        )

    def _tell(self, reason: str) -> None:
        for listener in self.listeners:
            listener(reason, self.is_leaving)
