"""Decides on the phases of a roll-out.

Answers a new version whose faults show at once, later or only under load: it gets a
small share first, then more for a short time, and all only if it answers well.
"""

from skylarkdoord.direct.rollouts._judgement import (
    MIN_GOOD_ANSWERS,
    MIN_LATE_GOOD_ANSWERS,
    judge,
)
from skylarkdoord.direct.rollouts._model import (
    Capacity,
    Decision,
    Outcome,
    Phase,
    Recent,
    Report,
    RolloutBounds,
    RolloutOrder,
    Verdict,
)

# Share of the requests on trial. It leaves half of the usual exposure of 0.1 for
# resumptions, the load trial and the time until a decision is heard of.
TRIAL_SHARE = 0.05
# Share in the load trial, relative to the exposure. On as large a part of the new
# upstreams it is the load that all of them will have. The gate ends it when the
# exposure is used up, after a tenth of the duration.
LOAD_TRIAL_RATIO = 2.5
# Larger shares of services with so little traffic that evidence would come too late.
SPARSE_SHARES = (0.1, 0.25, 0.5)
# Answers of the new version to aim at within half of the duration.
SPARSE_ANSWERS = 30
# Parts of the duration after which the phases may begin.
SPARSE_FROM = 0.1
HALF = 0.5
LOAD_TRIAL_FROM = 0.55
HANDOVER_FROM = 0.7
# Part of the exposure that the requests from the handover to the end may use up. If it
# covers them, a version whose faults begin after that keeps within the exposure too.
EXPOSURE_USED = 0.9
# The handover begins at the latest this long before the end, in seconds, so that what
# runs on the old version can end.
MIN_HANDOVER_S = 1.6
# Until then the old upstreams are kept to return to, even if nothing runs on them.
COMPLETED_FROM = 0.9
# Slots of the new version, relative to the old ones', needed for more than the trial.
MIN_CAPACITY_RATIO = 0.9
# The same for the completion at the end of the duration, when a good version whose
# upstreams are down in part is worth more than a return to the old one.
MIN_LAST_CAPACITY_RATIO = 0.5
# Time before the end of the duration at which it is decided, in seconds: two writes to
# the store, slow ones included, have to end in time.
END_MARGIN_S = 0.5
# The same if non-idempotent requests still run on the old version. Another wait would
# make the status late.
LAST_MARGIN_S = 0.25
# Most versions that are remembered as withheld.
MAX_WITHHELD = 16


def withheld_after(order: RolloutOrder, previous: Decision | None) -> tuple[str, ...]:
    """Return the versions that get nothing from an order on.

    These are the versions of earlier orders that did not complete, until an order names
    them again.

    Args:
        order: The order.
        previous: Latest decision on the service's former order; None if there is none.
    """
    if previous is None:
        return ()
    versions = [*previous.withheld]
    if previous.phase is not Phase.COMPLETED:
        versions.append(previous.order.version)
    unique = dict.fromkeys(name for name in versions if name != order.version)
    return tuple(unique)[-MAX_WITHHELD:]


def first_decision(
    order: RolloutOrder,
    capacity: Capacity,
    now_s: float,
    term: int,
    previous: Decision | None = None,
) -> Decision:
    """Return the first decision on an order.

    A version that already serves alone is completed at once. If requests may still run
    at a version that gets nothing any more, they end first.

    Args:
        order: The order.
        capacity: Slots of the service's upstreams. Those of versions that
            `withheld_after` names don't count as old slots.
        now_s: Time by the store's clock, in seconds.
        term: Fencing number of the coordinator.
        previous: Latest decision on the service's former order; None if there is none.
    """
    decision = Decision(
        order=order,
        phase=Phase.TRIAL,
        share=TRIAL_SHARE,
        started_s=now_s,
        term=term,
        reason="ordered",
        withheld=withheld_after(order, previous),
    )
    if capacity.old_slots > 0 or capacity.new_slots <= 0:
        return decision
    phase = Phase.HANDOVER if decision.withheld else Phase.COMPLETED
    return decision._replace(phase=phase, share=1.0, reason="it serves alone")


def next_decision(
    decision: Decision,
    report: Report,
    capacity: Capacity,
    now_s: float,
    bounds: RolloutBounds,
    *,
    recent: Recent | None = None,
    is_store_reachable: bool = True,
) -> Decision:
    """Return the decision that follows; the same object if nothing changes.

    Args:
        decision: The decision in force.
        report: Evidence on its order, summed over the entries.
        capacity: Slots of the service's upstreams, as for `first_decision`.
        now_s: Time by the store's clock, in seconds.
        bounds: Bounds that the deployment states.
        recent: The recent part of the evidence, of `EvidenceHistory`.
        is_store_reachable: Whether the store answers; if not, the phase stays.
    """
    if decision.phase.is_final or not is_store_reachable:
        return decision
    elapsed_s = max(0.0, now_s - decision.started_s)
    if decision.phase is Phase.HANDOVER:
        return _after_handover(decision, report, recent, capacity, elapsed_s)
    return _after_trial(decision, report, recent, capacity, elapsed_s, bounds)


def _after_trial(
    decision: Decision,
    report: Report,
    recent: Recent | None,
    capacity: Capacity,
    elapsed_s: float,
    bounds: RolloutBounds,
) -> Decision:
    """Return the decision that follows the trial."""
    duration_s = decision.order.duration_s
    is_half_over = elapsed_s >= HALF * duration_s
    verdict = judge(
        report,
        recent,
        min_answers=MIN_LATE_GOOD_ANSWERS if is_half_over else MIN_GOOD_ANSWERS,
    )
    if verdict.outcome is Outcome.BAD:
        return _enter(decision, Phase.REVERTED, 0.0, verdict.reason)
    if elapsed_s >= duration_s - END_MARGIN_S:
        reason = f"not handed over within the duration: {_lack(verdict, capacity)}"
        return _enter(decision, Phase.REVERTED, 0.0, reason)
    if not has_capacity(capacity, MIN_CAPACITY_RATIO):
        return decision
    is_good = verdict.outcome is Outcome.GOOD
    if is_good and is_handover_due(report, elapsed_s, duration_s, bounds):
        return _enter(decision, Phase.HANDOVER, 1.0, verdict.reason)
    share = min(decision.share, TRIAL_SHARE)
    if is_good and elapsed_s >= LOAD_TRIAL_FROM * duration_s:
        share = min(1.0, LOAD_TRIAL_RATIO * bounds.exposure_fraction)
    elif elapsed_s >= SPARSE_FROM * duration_s:
        share = _sparse_share(report, elapsed_s, duration_s)
    if share <= decision.share:
        return decision
    return _enter(decision, Phase.TRIAL, share, f"share {share}: {verdict.reason}")


def _after_handover(
    decision: Decision,
    report: Report,
    recent: Recent | None,
    capacity: Capacity,
    elapsed_s: float,
) -> Decision:
    """Return the decision that follows the handover.

    It began on good evidence, which a restart of all entries may have lost, so that
    only bad evidence counts, and only if there is another version to return to.
    """
    verdict = judge(report, recent)
    if verdict.outcome is Outcome.BAD and capacity.old_slots > 0:
        return _enter(decision, Phase.REVERTED, 0.0, verdict.reason)
    left_s = decision.order.duration_s - elapsed_s
    has_heard = (report.term, report.step) >= (decision.term, decision.step)
    is_late = elapsed_s >= COMPLETED_FROM * decision.order.duration_s
    is_alone = capacity.old_slots <= 0
    is_ended = report.running_old == 0 and has_heard and (is_late or is_alone)
    if is_ended and has_capacity(capacity, MIN_CAPACITY_RATIO):
        return _enter(decision, Phase.COMPLETED, 1.0, "nothing runs on the old one")
    if left_s > END_MARGIN_S:
        return decision
    if not has_capacity(capacity, MIN_LAST_CAPACITY_RATIO):
        return _enter(decision, Phase.REVERTED, 0.0, "too few new upstreams are ready")
    if report.running_old_once == 0:
        return _enter(decision, Phase.COMPLETED, 1.0, "the duration ends")
    if left_s > LAST_MARGIN_S:
        return decision
    return _enter(
        decision,
        Phase.REVERTED,
        0.0,
        f"{report.running_old_once} non-idempotent requests run on the old version",
    )


def is_handover_due(
    report: Report, elapsed_s: float, duration_s: float, bounds: RolloutBounds
) -> bool:
    """Return whether the exposure covers all requests until the end of the duration.

    Args:
        report: Evidence on the order, summed over the entries.
        elapsed_s: Time since the order, in seconds.
        duration_s: Duration of the roll-out, in seconds.
        bounds: Bounds that the deployment states.
    """
    if elapsed_s < HANDOVER_FROM * duration_s:
        return False
    left_s = duration_s - elapsed_s
    if left_s <= MIN_HANDOVER_S:
        return True
    sent = report.sent_old + report.sent_new
    per_s = sent / elapsed_s
    allowed = bounds.exposure_fraction * per_s * duration_s + bounds.exposure_tolerance
    return per_s * left_s <= EXPOSURE_USED * allowed - report.sent_new


def has_capacity(capacity: Capacity, ratio: float) -> bool:
    """Return whether the new version has a ratio of the old one's slots."""
    return capacity.new_slots > 0 and capacity.new_slots >= ratio * capacity.old_slots


def _sparse_share(report: Report, elapsed_s: float, duration_s: float) -> float:
    """Return the smallest share that gives evidence enough within half the duration."""
    sent = report.sent_old + report.sent_new
    expected = sent * HALF * duration_s / elapsed_s
    if expected * TRIAL_SHARE >= SPARSE_ANSWERS:
        return TRIAL_SHARE
    for share in SPARSE_SHARES:
        if expected * share >= SPARSE_ANSWERS:
            return share
    return SPARSE_SHARES[-1]


def _lack(verdict: Verdict, capacity: Capacity) -> str:
    """Return what kept a version on trial, for operators."""
    slots = f"{capacity.new_slots} slots against {capacity.old_slots}"
    return f"{verdict.reason}; {slots}"


def _enter(decision: Decision, phase: Phase, share: float, reason: str) -> Decision:
    """Return the next step."""
    return decision._replace(
        phase=phase, share=share, step=decision.step + 1, reason=reason
    )
