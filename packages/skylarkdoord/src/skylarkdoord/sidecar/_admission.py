"""Rules that decide which offers may enter a sidecar's queue."""

from skylarkdoor import invariants
from skylarkdoord.sidecar._queue import MAX_TIERS

# How long lower tiers are refused after an offer was refused by a full queue.
FLOOR_S = 0.25
# Shares of the estimated times that are assumed to be a lower bound.
MIN_SERVICE_SHARE = 0.8
MIN_WAIT_SHARE = 0.5

FLOOR_HOLDS = invariants.define(
    "floor_holds",
    "After a refusal by a full queue, offers of lower tiers are refused for a time.",
)


class TierFloor:
    """Refuses lower tiers for `FLOOR_S` after an offer was refused by a full queue.

    An entry refuses a request only after every reachable sidecar has refused it.
    Until the last refusal has arrived, the sidecars that refused first must not
    admit requests of lower tiers.
    """

    def __init__(self) -> None:
        self.blocked_until = [0.0] * MAX_TIERS

    def block_lower_tiers(self, tier: int, now: float) -> None:
        """Refuse offers of lower tiers than this one until `FLOOR_S` from now."""
        self.blocked_until[min(tier, MAX_TIERS - 1)] = now + FLOOR_S

    def is_blocked(self, tier: int, now: float) -> bool:
        """Return whether an offer of a higher tier was refused within `FLOOR_S`."""
        return any(until > now for until in self.blocked_until[:tier])

    def check(self, lowest: int, now: float) -> None:
        """Check that an offer of this tier was not admitted against the floor."""
        invariants.check(FLOOR_HOLDS, not self.is_blocked(lowest, now), lowest=lowest)


def will_miss_deadline(*, remaining_s: float, wait_s: float, service_s: float) -> bool:
    """Return whether a queued offer would almost certainly miss its deadline.

    Only a share of each estimated time is counted, because estimates may be too
    high.

    Args:
        remaining_s: Time until the deadline, in seconds.
        wait_s: Estimated wait in the queue, in seconds.
        service_s: Estimated time in the upstream, in seconds.
    """
    min_total_s = MIN_WAIT_SHARE * wait_s + MIN_SERVICE_SHARE * service_s
    return remaining_s <= 0 or min_total_s > remaining_s


def is_too_late(*, remaining_s: float, service_s: float) -> bool:
    """Return whether an offer would miss its deadline if it started now.

    Args:
        remaining_s: Time until the deadline, in seconds.
        service_s: Estimated time in the upstream, in seconds.
    """
    return remaining_s <= 0 or service_s > remaining_s
