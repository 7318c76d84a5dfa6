"""Types of roll-outs, which move a service to another version of its software."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from skylarkdoord.direct._adapter import StoreVersion


class RolloutOrder(NamedTuple):
    """An operator's order to move a service to a version.

    Attributes:
        service: Name of the service.
        version: Version of the software to move to.
        duration_s: Time within which the roll-out has to end, in seconds.
        ordered_at: Point in the store's history at which the order was written.
    """

    service: str
    version: str
    duration_s: float
    ordered_at: StoreVersion = StoreVersion()


class Phase(enum.Enum):
    """Progress of a roll-out; the last two are final."""

    TRIAL = "trial"
    HANDOVER = "handover"
    COMPLETED = "completed"
    REVERTED = "reverted"

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self in (Phase.COMPLETED, Phase.REVERTED)


class Decision(NamedTuple):
    """What the coordinator of a roll-out decided.

    Attributes:
        order: The order.
        phase: Progress of the roll-out.
        share: Largest share of the service's requests for the new version, from 0 to 1.
        started_s: Time by the store's clock at which the order was first seen, in
            seconds.
        term: Fencing number of the coordinator; a later coordinator has a higher one.
        step: Number of the decision within the term.
        reason: Why the phase was entered, for operators.
        withheld: Versions of earlier orders that did not complete; they get nothing
            until an order names them again.
    """

    order: RolloutOrder
    phase: Phase
    share: float
    started_s: float
    term: int = 0
    step: int = 0
    reason: str = ""
    withheld: tuple[str, ...] = ()

    @property
    def precedence(self) -> tuple[StoreVersion, bool, int, int]:
        """Sort key; of two decisions on a service the greater one is in force."""
        return self.order.ordered_at, self.phase.is_final, self.term, self.step


class Cell(NamedTuple):
    """A class of answers that are compared between versions.

    Attributes:
        route: Name of the route.
        is_large: Whether the prompt is larger than the route's average.
        is_new: Whether the new version answered.
    """

    route: str
    is_large: bool
    is_new: bool


class CellCounts(NamedTuple):
    """Answers of a cell.

    Attributes:
        answers: Number of answers, failures included.
        failures: Number of failures.
        durations: Number of answers by bucket of their duration.
    """

    answers: int = 0
    failures: int = 0
    durations: Mapping[int, int] = {}


class Report(NamedTuple):
    """Cumulative evidence on an order, of one entry or summed over entries.

    Attributes:
        order: The order.
        sent_old: Requests sent to other versions of the service since the order.
        sent_new: Requests sent to the new version.
        running_old: Requests that run at other versions now.
        running_old_once: Those of them that may run only once.
        cells: Answers by cell.
        term: Term of the decision that the entry holds; in a sum the lowest of all.
        step: Step of that decision within the term.
    """

    order: RolloutOrder
    sent_old: int = 0
    sent_new: int = 0
    running_old: int = 0
    running_old_once: int = 0
    cells: Mapping[Cell, CellCounts] = {}
    term: int = 0
    step: int = 0


class Recent(NamedTuple):
    """The recent part of the evidence on an order.

    Attributes:
        report: What the evidence gained within the recent time.
        worst_moment: What it gained then in the moment with the most slow answers of
            the new version that a stall may have delayed; None if it isn't known.
        worst_moment_of_all: The same since the order.
    """

    report: Report
    worst_moment: Report | None = None
    worst_moment_of_all: Report | None = None


class Outcome(enum.Enum):
    """Result of the comparison of two versions."""

    GOOD = "good"
    BAD = "bad"
    UNDECIDED = "undecided"


class Verdict(NamedTuple):
    """Result of the comparison of two versions, and its reason.

    Attributes:
        outcome: The result.
        reason: The figures that decided it, for logs and operators.
    """

    outcome: Outcome
    reason: str


class Capacity(NamedTuple):
    """Slots of the upstreams that are ready.

    Attributes:
        old_slots: Slots of the other versions, without those that are withheld.
        new_slots: Slots of the new version.
    """

    old_slots: int
    new_slots: int


class Versions(NamedTuple):
    """Versions of upstreams to which a request may be sent.

    Attributes:
        only: The only version; None for any.
        excluded: Versions to avoid.
        preferred: Upstream instances to use while one of them is ready; empty for any.
        is_bound: Whether the request goes on with a stream, which has to stay at the
            version for certain.
        begins_stream: Whether the request may begin a stream that can be resumed, for
            which versions that other entries may not know are left out.
    """

    only: str | None = None
    excluded: frozenset[str] = frozenset()
    preferred: frozenset[str] = frozenset()
    is_bound: bool = False
    begins_stream: bool = False

    def allows(self, version: str) -> bool:
        """Return whether a request may be sent to upstreams of a version."""
        return self.only in (None, version) and version not in self.excluded


class RolloutBounds(NamedTuple):
    """Bounds on roll-outs that the deployment states.

    Attributes:
        exposure_fraction: Largest share of a service's requests for a bad version.
        exposure_tolerance: Requests for it beyond that share.
        rollback_s: Time after evidence enough within which nothing may be sent to a bad
            version, in seconds.
    """

    exposure_fraction: float
    exposure_tolerance: float
    rollback_s: float
