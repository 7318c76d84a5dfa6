"""Which offers a sidecar lets in."""

from skylarkdoor import invariants
from skylarkdoord.sidecar._queue import MAX_TIERS

FLOOR_S = 0.25
CERTAIN_SHARE = 0.8
WAIT_SHARE = 0.5

FLOOR_HOLDS = invariants.define(
    "floor_holds",
    "After a refusal for lack of room no lower tier is let in for a set time.",
)


class TierFloor:
    """Keeps lower tiers out for a moment after a higher one was refused.

    A request is refused for good once every sidecar in reach has refused it.
    The floor keeps the first refusals true until the last has come.
    """

    def __init__(self) -> None:
        self.until = [0.0] * MAX_TIERS

    def hold(self, tier: int, now: float) -> None:
        """Let nothing below the tier in from now on, for `FLOOR_S`."""
        self.until[min(tier, MAX_TIERS - 1)] = now + FLOOR_S

    def keeps_out(self, tier: int, now: float) -> bool:
        """Return whether a higher tier was refused a moment ago."""
        return any(until > now for until in self.until[:tier])

    def check(self, lowest: int, now: float) -> None:
        """Assert that nothing below a held tier waits."""
        invariants.check(FLOOR_HOLDS, not self.keeps_out(lowest, now), lowest=lowest)


def is_hopeless(*, remaining_s: float, wait_s: float, service_s: float) -> bool:
    """Return whether an offer would certainly miss its deadline if it queued.

    Both times are estimates, so only a part of each is held to be certain.

    Args:
        remaining_s: Time until the deadline, in seconds.
        wait_s: Estimated wait in the queue, in seconds.
        service_s: Estimated time in the upstream, in seconds.
    """
    certain_s = WAIT_SHARE * wait_s + CERTAIN_SHARE * service_s
    return remaining_s <= 0 or certain_s > remaining_s


def is_too_late(*, remaining_s: float, service_s: float) -> bool:
    """Return whether an offer would miss its deadline if it started now."""
    return remaining_s <= 0 or service_s > remaining_s
