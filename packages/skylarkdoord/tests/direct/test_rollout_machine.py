"""A state machine of entries, a store and coordinators that are killed or paused."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from skylarkdoord.direct._adapter import StoreVersion
from skylarkdoord.direct.rollouts import (
    Capacity,
    EvidenceHistory,
    Outcome,
    Phase,
    Report,
    RolloutBounds,
    RolloutGate,
    RolloutOrder,
    first_decision,
    judge,
    next_decision,
    sum_reports,
)

from ._make import SERVICE

BOUNDS = RolloutBounds(0.1, 50, 5.0)
ENTRIES = 4
TICK_S = 0.25
LEASE_S = 3.0
DURATION_S = 12.0
REQUESTS = 40
# Time after a disturbance, in seconds.
BRIEF_S = st.sampled_from([0.5, 2.0, 5.0])
FULL = Capacity(10, 10)
NEW_INSTANCES = ("new-1", "new-2")


class Row:
    """The decision's row in the store, and each final status that was written."""

    def __init__(self):
        self.version = 0
        self.decision = None
        self.holder = -1
        self.lease_until = 0.0
        self.statuses = {}

    def write(self, expected, decision, holder, now):
        """Write the row if nobody else did since; return whether it was written."""
        if expected != self.version:
            return False
        self.version += 1
        self.decision, self.holder = decision, holder
        self.lease_until = now + LEASE_S
        return True


class Entry:
    """An entry that sends, hears and may coordinate."""

    def __init__(self, number):
        self.number = number
        self.gate = RolloutGate(BOUNDS, f"e{number}", lambda: ENTRIES)
        self.history = EvidenceHistory()
        self.heard = {}
        self.row_version = 0
        self.last_news = 0.0
        self.is_paused = False
        self.pending = None


class RolloutMachine(RuleBasedStateMachine):
    """Orders of good and bad versions, over a store and a lossy exchange."""

    def __init__(self):
        super().__init__()
        self.random = random.Random(1)
        self.now = 100.0
        self.store = Row()
        self.is_store_up = True
        self.cut = set()
        self.entries = [Entry(number) for number in range(ENTRIES)]
        self.former = {number: [] for number in range(ENTRIES)}
        self.orders = []
        self.bad_versions = set()
        self.exposed, self.arrived, self.bad_at, self.restarts = {}, {}, {}, {}
        self.late = []
        self.next_order_at = 0.0

    @property
    def order(self):
        """The order in the store; None if there is none."""
        return self.orders[-1] if self.orders else None

    @precondition(lambda self: self.now >= self.next_order_at)
    @rule(is_bad=st.booleans(), gap_s=st.sampled_from([2.0, 14.0, 14.0, 14.0]))
    def write_order(self, is_bad, gap_s):
        """Write an order of a version that no order named before.

        The next order follows after the gap, so that most orders come to their end.
        """
        self.next_order_at = self.now + gap_s
        version = f"v{len(self.orders) + 2}"
        order = RolloutOrder(
            SERVICE, version, DURATION_S, StoreVersion(1, len(self.orders) + 1)
        )
        if is_bad:
            self.bad_versions.add(version)
        self.orders.append(order)
        self.exposed[order], self.arrived[order] = 0, 0
        self.bad_at[order], self.restarts[order] = [], 0
        for entry in self.entries:
            entry.gate.expect(order, self.now)

    @precondition(lambda self: self.orders)
    @rule(number=st.integers(0, ENTRIES - 1), seconds=BRIEF_S)
    def cut_off(self, number, seconds):
        """Cut an entry off from the others, or join it again."""
        self.cut ^= {number}
        self.pass_time(seconds)

    @precondition(lambda self: self.orders)
    @rule(number=st.integers(0, ENTRIES - 1), seconds=BRIEF_S)
    def pause(self, number, seconds):
        """Pause an entry, perhaps between its decision and its write, or resume it."""
        entry = self.entries[number]
        entry.is_paused = not entry.is_paused
        self.pass_time(seconds)

    @precondition(lambda self: self.orders)
    @rule(number=st.integers(0, ENTRIES - 1), seconds=BRIEF_S)
    def kill(self, number, seconds):
        """Kill an entry; another incarnation starts at once."""
        self.restart(number)
        self.pass_time(seconds)

    @precondition(lambda self: self.orders)
    @rule(seconds=BRIEF_S)
    def kill_all(self, seconds):
        """Kill all entries at once."""
        for number in range(ENTRIES):
            self.restart(number)
        self.pass_time(seconds)

    def restart(self, number):
        """Replace an entry by another incarnation, which reads the store's order."""
        former = self.entries[number]
        self.entries[number] = entry = Entry(number)
        report = former.gate.report(SERVICE)
        if report is not None:
            self.former[number].append(report)
        if self.order is not None:
            self.restarts[self.order] += 1
            entry.gate.expect(self.order, self.now)

    @precondition(lambda self: self.orders)
    @rule(seconds=BRIEF_S)
    def toggle_store(self, seconds):
        """Take the store away, or bring it back."""
        self.is_store_up = not self.is_store_up
        self.pass_time(seconds)

    @precondition(lambda self: self.orders)
    @rule(seconds=st.sampled_from([4.0, 13.0]), lost=st.sampled_from([0, 30]))
    def play(self, seconds, lost):
        """Let time pass; some messages are lost."""
        self.pass_time(seconds, lost)

    def pass_time(self, seconds, lost=0):
        """Let time pass, with requests, updates and decisions."""
        for _ in range(int(seconds / TICK_S)):
            self.now += TICK_S
            running = [entry for entry in self.entries if not entry.is_paused]
            for _ in range(REQUESTS if running else 0):
                self.request(self.random.choice(running))
            for entry in running:
                self.send_news(entry, lost)
                self.judge(entry)
            for entry in running:
                self.coordinate(entry, lost)

    def request(self, entry):
        """Send a request; a failure at the new version is retried."""
        versions = entry.gate.versions_for(SERVICE, "notes", NEW_INSTANCES, self.now)
        order = self.order
        self.arrived[order] += 1
        is_new = versions.only == order.version
        self.send(entry, order, is_new, is_first=True)

    def send(self, entry, order, is_new, is_first):
        """Send an attempt, which is answered at once."""
        version = order.version if is_new else "v1"
        entry.gate.on_sent(SERVICE, version, is_first=is_first)
        is_failure = self.random.random() < 0.02
        if is_new:
            self.note_exposure(entry, order)
            if version in self.bad_versions and self.random.random() < 0.5:
                is_failure = True
                self.bad_at[order].append(self.now)
        entry.gate.on_answer(SERVICE, "notes", 100, version, 0.3, is_failure=is_failure)
        entry.gate.on_ended(SERVICE, version)
        if is_failure and is_first:
            versions = entry.gate.versions_for_retry(SERVICE, NEW_INSTANCES, self.now)
            again_new = versions.only == order.version
            self.send(entry, order, again_new, is_first=False)

    def note_exposure(self, entry, order):
        """Count a request for the new version; keep those that come too late."""
        phase = entry.gate.decision(SERVICE).phase
        if phase is Phase.TRIAL:
            self.exposed[order] += 1
        bad_at = self.bad_at[order]
        is_in_touch = self.now - entry.last_news < 1.0
        if len(bad_at) >= 50 and self.now > bad_at[49] + 5.0 and is_in_touch:
            self.late.append((self.now, entry.number, phase))

    def send_news(self, entry, lost):
        """Send an entry's report to the others."""
        report = entry.gate.report(SERVICE)
        entry.heard[entry.number] = report
        if entry.number in self.cut:
            return
        for other in self.entries:
            is_lost = self.random.randrange(100) < lost
            if other.number not in self.cut and not other.is_paused and not is_lost:
                other.heard[entry.number] = report

    def gone(self):
        """Return the last reports of former incarnations."""
        return [report for former in self.former.values() for report in former]

    def judge(self, entry):
        """Stop by the evidence that an entry holds."""
        report = sum_reports(self.order, entry.heard.values(), self.gone())
        verdict = judge(report, entry.history.recent(report, self.now))
        is_bad = verdict.outcome is Outcome.BAD
        entry.gate.stop(SERVICE, verdict.reason if is_bad else "")

    def coordinate(self, entry, lost):
        """Decide if an entry has the lease or may take it; send what was written."""
        if entry.pending is not None:
            # It was paused between its decision and the write, or is about to write.
            expected, decision = entry.pending
            entry.pending = None
            if self.is_store_up and self.write(entry, expected, decision):
                self.send_decision(entry, decision, lost)
            return
        row = self.store
        has_lease = row.holder == entry.number and entry.row_version == row.version
        if not has_lease:
            if not self.is_store_up or row.lease_until > self.now:
                return
            entry.row_version = row.version
            entry.pending = (row.version, self.next_term(entry))
            return
        following = self.following(entry, row.decision)
        if following is row.decision or not self.is_store_up:
            if self.is_store_up:
                row.lease_until = self.now + LEASE_S
            self.send_decision(entry, row.decision, lost)
            return
        entry.pending = (row.version, following)

    def next_term(self, entry):
        """Return the decision with which an entry takes the row over."""
        latest = self.store.decision
        term = latest.term + 1 if latest else 1
        if latest is None or latest.order != self.order:
            return first_decision(self.order, FULL, self.now, term, latest)
        return latest._replace(term=term, step=0)

    def following(self, entry, decision):
        """Return what follows a decision by the evidence that its entry holds."""
        if decision.order != self.order:
            return first_decision(self.order, FULL, self.now, decision.term, decision)
        reports = [self.report_of(other, entry) for other in self.entries]
        report = sum_reports(self.order, reports, self.gone())
        return next_decision(
            decision,
            report,
            FULL,
            self.now,
            BOUNDS,
            recent=entry.history.recent(report, self.now),
            is_store_reachable=self.is_store_up,
        )

    def report_of(self, other, entry):
        """Return an entry's last report as another one, or the same, holds it.

        The evidence of a lost entry counts, but nothing of it has to end any more.
        """
        report = entry.heard.get(other.number) or Report(self.order)
        if other is entry or self.hear_each_other(entry, other):
            return report
        own = entry.heard[entry.number]
        return report._replace(
            running_old=0, running_old_once=0, term=own.term, step=own.step
        )

    def hear_each_other(self, entry, other):
        """Return whether two entries hear each other."""
        is_cut = not self.cut.isdisjoint({entry.number, other.number})
        return not is_cut and not other.is_paused

    def write(self, entry, expected, decision):
        """Write a decision and its status; return whether it was written."""
        if not self.store.write(expected, decision, entry.number, self.now):
            return False
        entry.row_version = self.store.version
        if decision.phase.is_final:
            statuses = self.store.statuses.setdefault(decision.order, set())
            statuses.add(decision.phase)
        return True

    def send_decision(self, entry, decision, lost):
        """Send a decision to all entries that can be reached."""
        entry.gate.apply(decision, self.now)
        entry.last_news = self.now
        if entry.number in self.cut:
            return
        for other in self.entries:
            is_lost = self.random.randrange(100) < lost
            if other.number not in self.cut and not other.is_paused and not is_lost:
                other.gate.apply(decision, self.now)
                other.last_news = self.now

    @invariant()
    def one_final_phase(self):
        """No order has two final phases."""
        assert all(len(phases) == 1 for phases in self.store.statuses.values())

    @invariant()
    def exposure_holds(self):
        """What a trial sends stays within the bound, for each incarnation."""
        for order, exposed in self.exposed.items():
            tolerance = 50 * (1 + self.restarts[order] / ENTRIES)
            assert exposed <= 0.1 * self.arrived[order] + tolerance

    @invariant()
    def stops_in_time(self):
        """An entry in touch sends nothing 5 s after the 50th bad answer."""
        assert self.late == []


TestRolloutMachine = RolloutMachine.TestCase
TestRolloutMachine.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None
)


class TestCutOff:
    """A coordinator that is cut off from the other entries."""

    # Guards against a bad version that is completed without the coordinator's evidence.
    def test_own_evidence(self):
        """It decides by what it observed itself and last heard."""
        machine = RolloutMachine()
        machine.write_order(is_bad=True, gap_s=14.0)
        machine.cut_off(number=1, seconds=0.5)
        machine.toggle_store(seconds=5.0)
        machine.cut_off(number=0, seconds=0.5)
        machine.toggle_store(seconds=2.0)
        machine.cut_off(number=1, seconds=5.0)
        assert machine.store.decision.phase is Phase.REVERTED
