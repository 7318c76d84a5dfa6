"""What the parts of roll-outs need of the service that they belong to."""

from collections.abc import Callable
from typing import Protocol

from skylarkdoord.direct.rollout_services._orders import RolloutOrders
from skylarkdoord.direct.rollouts import (
    Capacity,
    Decision,
    Recent,
    Report,
    RolloutGate,
    RolloutOrder,
)


class RolloutView(Protocol):
    """Orders, decisions and evidence, as an entry holds them.

    Attributes:
        gate: Decisions in force and this entry's evidence.
        orders: Latest order of each service.
        heard_at: Monotonic time at which a decision on a service was last heard of, or
            its order was read, in seconds.
        sources: Entry that last sent the decision in force, by service.
        decided_at: Monotonic time at which the decision in force was first heard of,
            in seconds, by service.
        clock: Returns the monotonic time, in seconds.
    """

    gate: RolloutGate
    orders: RolloutOrders
    heard_at: dict[str, float]
    sources: dict[str, str]
    decided_at: dict[str, float]
    clock: Callable[[], float]

    def is_served(self, service: str) -> bool:
        """Return whether the configuration has a service."""

    def decision(self, order: RolloutOrder) -> Decision | None:
        """Return the coordinator's decision in force on an order; None without one."""

    def take(self, decision: Decision) -> bool:
        """Take over a decision; return whether it is news."""

    def evidence(self, order: RolloutOrder) -> Report:
        """Return the evidence of all entries on an order."""

    def recent(self, evidence: Report) -> Recent:
        """Return the recent part of the evidence of all entries."""

    def capacity(self, order: RolloutOrder, withheld: frozenset[str]) -> Capacity:
        """Return the slots of a service's upstreams that are ready."""

    def is_sender(self, service: str) -> bool:
        """Return whether this entry coordinates a service."""

    def change_versions(self, service: str) -> None:
        """Let the waiting requests of a service use the versions that they may now."""
