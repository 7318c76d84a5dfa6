"""Decisions and reports on roll-outs as messages between entries."""

import math

from skylarkdoor.wire import pb
from skylarkdoord.direct._adapter import StoreVersion
from skylarkdoord.direct.exceptions import RowError
from skylarkdoord.direct.rollouts import (
    Cell,
    CellCounts,
    Decision,
    Phase,
    Report,
    RolloutOrder,
)


def order_to_wire(order: RolloutOrder) -> pb.RolloutOrder:
    """Return an order as a message."""
    return pb.RolloutOrder(
        service=order.service,
        version=order.version,
        duration_s=order.duration_s,
        ordered_era=order.ordered_at.era,
        ordered_version=order.ordered_at.number,
    )


def order_from_wire(message: pb.RolloutOrder) -> RolloutOrder:
    """Return the order that a message states.

    Raises:
        RowError: A field is malformed.
    """
    if not message.service or not message.version:
        raise RowError("order: expected a service and a version")
    if not math.isfinite(message.duration_s) or message.duration_s <= 0:
        raise RowError("order.duration_s: expected a number above 0")
    return RolloutOrder(
        service=message.service,
        version=message.version,
        duration_s=message.duration_s,
        ordered_at=StoreVersion(message.ordered_era, message.ordered_version),
    )


def decision_to_wire(decision: Decision) -> pb.RolloutDecision:
    """Return a decision as a message."""
    return pb.RolloutDecision(
        order=order_to_wire(decision.order),
        phase=decision.phase.value,
        share=decision.share,
        started_s=decision.started_s,
        term=decision.term,
        step=decision.step,
        reason=decision.reason,
        withheld=decision.withheld,
    )


def decision_from_wire(message: pb.RolloutDecision) -> Decision:
    """Return the decision that a message states.

    Raises:
        RowError: A field is malformed.
    """
    return Decision(
        order=order_from_wire(message.order),
        phase=phase_of(message.phase),
        share=share_of(message.share),
        started_s=message.started_s,
        term=message.term,
        step=message.step,
        reason=message.reason,
        withheld=tuple(message.withheld),
    )


def phase_of(name: str) -> Phase:
    """Return the phase of a name.

    Raises:
        RowError: There is no such phase.
    """
    try:
        return Phase(name)
    except ValueError:
        raise RowError(f"phase: unknown value {name!r}") from None


def share_of(value: float) -> float:
    """Return a share of requests.

    Raises:
        RowError: It is not from 0 to 1.
    """
    if not 0.0 <= value <= 1.0:
        raise RowError(f"share: expected a number from 0 to 1, got {value!r}")
    return value


def report_to_wire(report: Report) -> pb.RolloutReport:
    """Return a report as a message."""
    cells = [
        pb.RolloutCell(
            route=cell.route,
            large=cell.is_large,
            new_version=cell.is_new,
            answers=counts.answers,
            failures=counts.failures,
            durations=counts.durations,
        )
        for cell, counts in report.cells.items()
    ]
    return pb.RolloutReport(
        order=order_to_wire(report.order),
        sent_old=report.sent_old,
        sent_new=report.sent_new,
        running_old=report.running_old,
        running_old_once=report.running_old_once,
        cells=cells,
        term=report.term,
        step=report.step,
    )


def report_from_wire(message: pb.RolloutReport) -> Report:
    """Return the report that a message states.

    Raises:
        RowError: A field is malformed.
    """
    cells = {
        Cell(cell.route, cell.large, cell.new_version): CellCounts(
            cell.answers, cell.failures, dict(cell.durations)
        )
        for cell in message.cells
    }
    return Report(
        order=order_from_wire(message.order),
        sent_old=message.sent_old,
        sent_new=message.sent_new,
        running_old=message.running_old,
        running_old_once=message.running_old_once,
        cells=cells,
        term=message.term,
        step=message.step,
    )
