"""Decides on the phases of a roll-out."""

from skylarkdoord.direct.rollouts._model import (
    Capacity,
    Decision,
    Report,
    RolloutBounds,
    RolloutOrder,
)


def first_decision(
    order: RolloutOrder,
    capacity: Capacity,
    now_s: float,
    term: int,
    previous: Decision | None = None,
) -> Decision:
    """Return the first decision on an order.

    Args:
        order: The order.
        capacity: Slots of the service's upstreams. Those of versions that get nothing
            (`RolloutGate.withheld`, and the version of a `previous` that did not
            complete) don't count as old slots.
        now_s: Time by the store's clock, in seconds.
        term: Fencing number of the coordinator.
        previous: Latest decision on the service's former order; None if there is none.
    """
    raise NotImplementedError


def next_decision(
    decision: Decision,
    report: Report,
    capacity: Capacity,
    now_s: float,
    bounds: RolloutBounds,
    *,
    is_store_reachable: bool = True,
) -> Decision:
    """Return the decision that follows; the same object if nothing changes.

    Args:
        decision: The decision in force.
        report: Evidence on its order, summed over the entries.
        capacity: Slots of the service's upstreams, as for `first_decision`.
        now_s: Time by the store's clock, in seconds.
        bounds: Bounds that the deployment states.
        is_store_reachable: Whether the store answers; if not, the phase stays.
    """
    raise NotImplementedError
