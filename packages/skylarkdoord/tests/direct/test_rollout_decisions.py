"""Tests of the evidence on roll-outs, the verdict and the phases."""

import pytest

from skylarkdoord.direct._adapter import StoreVersion
from skylarkdoord.direct.rollouts import (
    Capacity,
    Cell,
    CellCounts,
    Decision,
    Evidence,
    EvidenceHistory,
    Outcome,
    Phase,
    Report,
    RolloutBounds,
    RolloutOrder,
    Running,
    first_decision,
    judge,
    next_decision,
    sum_reports,
    withheld_after,
)
from skylarkdoord.direct.rollouts._evidence import MAX_BUCKET, bucket_of

from ._make import SERVICE

BOUNDS = RolloutBounds(0.1, 50, 5.0)
FULL = Capacity(old_slots=20, new_slots=20)


def make_order(version="v2", number=1, duration_s=12.0):
    """Return an order."""
    return RolloutOrder(SERVICE, version, duration_s, StoreVersion(1, number))


ORDER = make_order()


def make_report(old=(500, 0), new=(100, 0), **changes):
    """Return a report of answers and failures of the old and the new version."""
    cells = {
        Cell("notes", False, is_new): CellCounts(
            answers, failures, {16: answers - failures}
        )
        for is_new, (answers, failures) in ((False, old), (True, new))
    }
    return Report(ORDER, old[0], new[0], cells=cells)._replace(**changes)


def make_decision(phase=Phase.TRIAL, **changes):
    """Return a decision of the first step of a term."""
    share = 1.0 if phase is Phase.HANDOVER else 0.05
    return Decision(ORDER, phase, share, started_s=100.0, term=1)._replace(**changes)


def decide(decision, report, *, after_s, capacity=FULL, **options):
    """Return the decision that follows some time after the order."""
    return next_decision(
        decision, report, capacity, decision.started_s + after_s, BOUNDS, **options
    )


class TestEvidence:
    """`Evidence` of one entry."""

    def test_counts(self):
        """Answers are counted by route, size of the prompt and version."""
        evidence = Evidence(ORDER)
        for tokens in (10, 10, 100):
            evidence.on_answer("notes", tokens, "v1", 0.3)
        evidence.on_answer("notes", 10, "v2", 0.3, is_failure=True)
        cells = evidence.report().cells
        assert cells[Cell("notes", False, False)].answers == 2
        assert cells[Cell("notes", True, False)].answers == 1
        assert cells[Cell("notes", False, True)] == CellCounts(1, 1, {})

    # Guards against a completion while requests from before the order still run.
    def test_running_before(self):
        """Requests from before the order count as running on the old version."""
        running = Running()
        running.begin("v1", is_once=True)
        evidence = Evidence(ORDER, running)
        running.begin("v1", is_once=False)
        running.begin("v2", is_once=False)
        report = evidence.report()
        assert (report.running_old, report.running_old_once) == (2, 1)
        running.end("v1", is_once=True)
        assert evidence.report().running_old_once == 0

    def test_buckets(self):
        """Buckets grow by the square root of 2 and are bounded."""
        assert bucket_of(0.0) == 0
        assert bucket_of(0.002) - bucket_of(0.001) == 2
        assert bucket_of(1e9) == MAX_BUCKET

    # Guards against a report that grows with what callers send.
    def test_bounded(self):
        """A report has a bounded number of cells."""
        evidence = Evidence(ORDER)
        for number in range(1000):
            evidence.on_answer(f"r{number}", 10, "v1", 0.1)
        assert len(evidence.report().cells) <= 128


class TestSum:
    """`sum_reports`."""

    def test_sum(self):
        """Reports on the order are added up; the earliest decision counts."""
        first = make_report(term=1, step=2)
        second = make_report(term=1, step=1, running_old=3)
        other = make_report(order=make_order(number=2))
        total = sum_reports(ORDER, [first, second, other])
        assert (total.sent_old, total.sent_new) == (1000, 200)
        assert (total.running_old, total.term, total.step) == (3, 1, 1)
        assert total.cells[Cell("notes", False, True)].durations == {16: 200}

    # Guards against entries that are gone and keep a roll-out from completing.
    def test_gone(self):
        """Of entries that are gone, answers count, but nothing runs there."""
        gone = make_report(running_old=3, running_old_once=1)
        live = make_report(term=1, step=2)
        total = sum_reports(ORDER, [live], [gone])
        assert total.sent_new == 200
        assert (total.running_old, total.running_old_once) == (0, 0)
        assert (total.term, total.step) == (1, 2)


class TestJudge:
    """`judge`."""

    @pytest.mark.parametrize(
        ("old", "new", "outcome"),
        [
            ((500, 0), (49, 0), Outcome.UNDECIDED),
            ((500, 0), (50, 0), Outcome.GOOD),
            ((500, 0), (50, 4), Outcome.GOOD),
            ((500, 0), (50, 5), Outcome.BAD),
            ((500, 0), (8, 5), Outcome.BAD),
            ((500, 70), (100, 14), Outcome.GOOD),
            ((500, 70), (100, 35), Outcome.BAD),
            ((0, 0), (60, 20), Outcome.GOOD),
            ((0, 0), (60, 40), Outcome.BAD),
        ],
    )
    def test_failures(self, old, new, outcome):
        """A version is bad that fails more often than the old one."""
        assert judge(make_report(old, new)).outcome is outcome

    def test_few_accepted(self):
        """Fewer answers do if that is all that came."""
        assert judge(make_report(new=(5, 0)), min_answers=5).outcome is Outcome.GOOD

    # Guards against a chance surplus of the route that fails anyway.
    def test_other_mixture(self):
        """More answers of a route that fails anyway don't make a version bad."""
        cells = {
            Cell("notes", False, False): CellCounts(900, 0),
            Cell("lookup", False, False): CellCounts(100, 20),
            Cell("notes", False, True): CellCounts(50, 0),
            Cell("lookup", False, True): CellCounts(50, 10),
        }
        assert judge(Report(ORDER, cells=cells)).outcome is Outcome.GOOD

    # Guards against good answers from before that hide the bad ones.
    def test_recent(self):
        """A version that became bad is found by its recent answers."""
        history = EvidenceHistory()
        history.recent(make_report(new=(1000, 0)), 0.0)
        report = make_report(old=(600, 0), new=(1020, 15))
        recent = history.recent(report, 1.0)
        assert judge(report).outcome is Outcome.GOOD
        assert judge(report, recent).outcome is Outcome.BAD


class TestFirstDecision:
    """`first_decision`."""

    def test_trial(self):
        """A version that runs beside another one gets its trial."""
        decision = first_decision(ORDER, FULL, 5.0, 3)
        assert decision.phase is Phase.TRIAL
        assert (decision.started_s, decision.term, decision.step) == (5.0, 3, 0)

    def test_not_running(self):
        """A version that no upstream runs waits."""
        decision = first_decision(ORDER, Capacity(0, 0), 5.0, 1)
        assert decision.phase is Phase.TRIAL

    def test_serves_alone(self):
        """A version that already serves alone is completed at once."""
        decision = first_decision(ORDER, Capacity(0, 20), 5.0, 1)
        assert decision.phase is Phase.COMPLETED

    # Guards against an untested version that gets what the named one may not have.
    def test_back_midway(self):
        """A return to the version that still serves needs no trial."""
        back = make_order("v1", number=2)
        previous = make_decision()
        decision = first_decision(back, Capacity(0, 20), 5.0, 1, previous)
        assert decision.phase is Phase.HANDOVER
        assert decision.withheld == ("v2",)
        ended = make_report(order=back, term=1)
        completed = decide(decision, ended, after_s=0.5, capacity=Capacity(0, 20))
        assert completed.phase is Phase.COMPLETED

    def test_withheld(self):
        """Versions that did not complete get nothing until they are named again."""
        reverted = make_decision(Phase.REVERTED)
        third = make_order("v3", 2)
        assert withheld_after(third, reverted) == ("v2",)
        on_trial = make_decision(order=third, withheld=("v2",))
        assert withheld_after(make_order("v2", 3), on_trial) == ("v3",)
        assert withheld_after(third, make_decision(Phase.COMPLETED)) == ()


class TestNextDecision:
    """`next_decision`."""

    def test_unchanged(self):
        """The same object is returned if nothing changes."""
        decision = make_decision()
        assert decide(decision, make_report(), after_s=3.0) is decision

    def test_good(self):
        """A good version gets a larger share, then everything, and completes."""
        report = make_report()
        larger = decide(make_decision(), report, after_s=6.7)
        assert (larger.phase, larger.share) == (Phase.TRIAL, 0.25)
        assert decide(larger, report, after_s=9.5) is larger
        handover = decide(larger, report, after_s=10.5)
        assert handover.phase is Phase.HANDOVER
        assert handover.precedence > larger.precedence
        heard = report._replace(term=handover.term, step=handover.step)
        assert decide(handover, heard, after_s=10.7) is handover
        assert decide(handover, heard, after_s=10.9).phase is Phase.COMPLETED

    # Guards against a version whose faults begin at the handover, which would get more
    # than its exposure until the end of the duration.
    def test_handover_within_exposure(self):
        """The handover waits until the exposure covers the requests to the end."""
        report = make_report(old=(9_000, 0), new=(300, 0))
        trial = make_decision(share=0.25)
        assert decide(trial, report, after_s=9.0) is trial
        few = make_report(old=(400, 0), new=(10, 0))
        assert decide(trial, few, after_s=8.5) is trial
        long = make_order(duration_s=120.0)
        trial = trial._replace(order=long)
        report = report._replace(order=long)
        assert decide(trial, report, after_s=100.0) is trial
        assert decide(trial, report, after_s=114.0).phase is Phase.HANDOVER

    # Guards against entries that still send to upstreams that stop at once.
    def test_unheard(self):
        """It does not complete before each live entry has heard of the handover."""
        handover = make_decision(Phase.HANDOVER, step=2)
        unheard = make_report(term=1, step=1)
        assert decide(handover, unheard, after_s=10.9) is handover

    def test_streams_at_end(self):
        """At the end, streams on the old version are given up."""
        handover = make_decision(Phase.HANDOVER)
        report = make_report(term=1, running_old=3)
        assert decide(handover, report, after_s=11.0) is handover
        assert decide(handover, report, after_s=11.6).phase is Phase.COMPLETED

    def test_once_only_at_end(self):
        """At the end, once-only requests on the old version are not given up."""
        handover = make_decision(Phase.HANDOVER)
        report = make_report(term=1, running_old=1, running_old_once=1)
        assert decide(handover, report, after_s=11.6) is handover
        assert decide(handover, report, after_s=11.8).phase is Phase.REVERTED

    @pytest.mark.parametrize("phase", [Phase.TRIAL, Phase.HANDOVER])
    def test_bad(self, phase):
        """A bad version is reverted at once."""
        decision = make_decision(phase)
        reverted = decide(decision, make_report(new=(50, 20)), after_s=1.0)
        assert reverted.phase is Phase.REVERTED
        assert "20 of 50" in reverted.reason

    @pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.REVERTED])
    def test_final(self, phase):
        """A final phase never changes."""
        decision = make_decision(phase)
        report = make_report(new=(50, 20))
        assert decide(decision, report, after_s=50.0) is decision

    @pytest.mark.parametrize("answers", [0, 4])
    def test_too_few_answers(self, answers):
        """A version without evidence is reverted at the time limit, not earlier."""
        report = make_report(new=(answers, 0))
        decision = make_decision(share=0.5)
        assert decide(decision, report, after_s=11.4) is decision
        reverted = decide(decision, report, after_s=11.6)
        assert reverted.phase is Phase.REVERTED

    def test_sparse(self):
        """A service with few requests gives the version a larger share."""
        report = make_report(old=(10, 0), new=(0, 0))
        assert decide(make_decision(), report, after_s=2.0).share == 0.5

    @pytest.mark.parametrize(("slots", "is_enough"), [(17, False), (18, True)])
    def test_capacity(self, slots, is_enough):
        """Nothing but the trial share goes to fewer than 0.9 of the slots."""
        capacity = Capacity(20, slots)
        decision = make_decision()
        for after_s in (2.0, 6.7, 8.5, 10.5):
            following = decide(
                decision, make_report(), after_s=after_s, capacity=capacity
            )
            assert is_enough or following is decision
        assert (following.phase is Phase.HANDOVER) == is_enough

    @pytest.mark.parametrize("phase", [Phase.TRIAL, Phase.HANDOVER])
    def test_store_away(self, phase):
        """Without the store the phase stays; after its return it is decided at once."""
        decision = make_decision(phase)
        report = make_report(term=1)
        away = decide(decision, report, after_s=14.0, is_store_reachable=False)
        assert away is decision
        assert decide(decision, report, after_s=14.0).phase.is_final
