"""Drain state of this process and the reasons for it."""

import time
from collections.abc import Callable
from typing import Any

from skylarkdoor import events, invariants
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord._listeners import call_all
from skylarkdoord.common._internal import InternalServer

NEW_WORK_GRACE_S = 2.0

SHUTDOWN = "shutdown"
OPERATOR = "operator"
INSTANCE_LIST = "listed"

NO_WORK_AFTER_LEAVING = invariants.define(
    "no_work_after_leaving",
    "A draining instance accepts no new work after a bounded time.",
)

Listener = Callable[[str, bool], None]


class DrainState:
    """Tracks the reasons for which this process is draining.

    Shutdown and an operator's drain are final. A drain that the instance list
    requests can be cancelled, since the list may temporarily show the record of an
    earlier incarnation of the instance.
    """

    name = "departure"
    requires: tuple[str, ...] = ("settings",)

    def __init__(self) -> None:
        self.reasons: set[str] = set()
        self.since: float | None = None
        self.listeners: list[Listener] = []
        self.log = events.get_logger("departure")

    async def start(self, kernel: Kernel) -> None:
        """Add the drain state to `/readyz` and `/status`."""
        internal = kernel.find("internal", InternalServer)
        internal.add_ready_check("leaving", lambda: not self.is_draining)
        internal.add_status("leaving", lambda: sorted(self.reasons))

    async def stop(self) -> None:
        """Do nothing; there are no resources to release."""

    @property
    def is_draining(self) -> bool:
        """Whether this process is draining."""
        return bool(self.reasons)

    @property
    def age_s(self) -> float:
        """Time since this process started to drain, in seconds; 0 if it has not."""
        return 0.0 if self.since is None else time.monotonic() - self.since

    def start_drain(self, reason: str) -> None:
        """Add a reason to drain; if it is the first one, notify the listeners."""
        was_draining = self.is_draining
        self.reasons.add(reason)
        if not was_draining:
            self.since = time.monotonic()
            self.log.event(_events.DRAIN_STARTED, reason=reason)
            call_all(self.listeners, reason, self.is_draining)

    def cancel_drain(self, reason: str) -> None:
        """Remove a reason; if none is left, accept work again."""
        if reason not in self.reasons:
            return
        self.reasons.discard(reason)
        if not self.is_draining:
            self.since = None
            self.log.event(_events.DRAIN_CANCELLED, reason=reason)
            call_all(self.listeners, reason, self.is_draining)

    def check_new_work(self, **detail: Any) -> None:
        """Check the invariant on new work; call this wherever work is accepted."""
        invariants.check(
            NO_WORK_AFTER_LEAVING,
            self.age_s <= NEW_WORK_GRACE_S,
            reasons=sorted(self.reasons),
            **detail,
        )
