"""A simulation of a roll-out: entries, upstreams of two versions and a coordinator."""

import heapq
import itertools
import random
from typing import NamedTuple

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

OLD = "v1"
NEW = "v2"
BOUNDS = RolloutBounds(exposure_fraction=0.1, exposure_tolerance=50, rollback_s=5.0)
NEWS_INTERVAL_S = 0.25
MAX_NEWS_DELAY_S = 0.05
MAX_STORE_DELAY_S = 0.2
MAX_RETRIES = 1


class RouteLoad(NamedTuple):
    """Requests of a route.

    Attributes:
        name: Name of the route.
        weight: Share of the requests.
        mean_s: Mean duration of an answer, in seconds.
        failure_share: Share of the requests that fail at any version.
        is_once: Whether a request may run only once.
    """

    name: str
    weight: float = 1.0
    mean_s: float = 0.3
    failure_share: float = 0.0
    is_once: bool = False


class Fault(NamedTuple):
    """What is wrong with a version.

    Attributes:
        failures: Share of its answers that fail.
        slow: Share of its answers that take several times as long.
        factor: How many times as long.
        from_s: Time after the order at which it shows, in seconds.
        min_load: Used share of an upstream's slots from which on it shows.
        route: The only route on which it shows; empty for all.
    """

    failures: float = 0.0
    slow: float = 0.0
    factor: float = 4.0
    from_s: float = 0.0
    min_load: float = 0.0
    route: str = ""


class Upstream:
    """An upstream that runs requests."""

    def __init__(self, name, version):
        self.name = name
        self.version = version
        self.running = 0
        self.slow_until = 0.0


class Simulation:
    """One order, from its row to some seconds after its time limit.

    Attributes:
        stalls: Start and end of the times at which no upstream answers, in seconds.
        arrivals: Times of requests before the order's time limit.
        sent_new: Times at which requests were sent to the new version.
        bad: Times of the answers that the fault spoilt.
        ended: Final decision and its time; None if there is none.
    """

    def __init__(
        self,
        *,
        fault=None,
        routes=None,
        per_s=100.0,
        entries=4,
        upstreams=10,
        slots=8,
        duration_s=12.0,
        weights=None,
        noise_per_s=0.0,
        stalls=(),
        cut=(),
        cut_at_s=1.0,
        capacity_at=lambda now: 1.0,
        is_store_up=lambda now: True,
        rate_at=lambda now: 1.0,
        seed=1,
    ):
        self.random = random.Random(seed)
        self.fault = fault or Fault()
        self.routes = routes or [RouteLoad("notes")]
        self.per_s = per_s
        self.slots = slots
        self.weights = weights or [1.0] * entries
        self.noise_per_s = noise_per_s
        self.stalls = stalls
        self.cut = set(cut)
        self.cut_at_s = cut_at_s
        self.capacity_at = capacity_at
        self.is_store_up = is_store_up
        self.rate_at = rate_at
        self.order = RolloutOrder(SERVICE, NEW, duration_s, StoreVersion(1, seed))
        self.gates = [
            RolloutGate(BOUNDS, f"e{number}", lambda: entries)
            for number in range(entries)
        ]
        self.heard = [{} for _ in self.gates]
        self.histories = [EvidenceHistory() for _ in self.gates]
        self.coordinator_history = EvidenceHistory()
        self.upstreams = [
            Upstream(f"{version}-{number}", version)
            for version in (OLD, NEW)
            for number in range(upstreams)
        ]
        self.now = 0.0
        self.queue = []
        self.count = itertools.count()
        self.decision = None
        self.ended = None
        self.arrivals, self.sent_new, self.bad, self.once_cut = [], [], [], 0

    def at(self, delay_s, action, *args):
        """Call an action after a delay."""
        entry = (self.now + delay_s, next(self.count), action, args)
        heapq.heappush(self.queue, entry)

    def run(self):
        """Play the order to some seconds after its time limit; return self."""
        end_s = self.order.duration_s + 6.0
        for gate in self.gates:
            gate.expect(self.order, 0.0)
        self.at(0.1, self.decide)
        self.at(0.0, self.arrive)
        for number in range(len(self.gates)):
            self.at(self.random.random() * NEWS_INTERVAL_S, self.send_news, number)
        if self.noise_per_s:
            self.at(0.0, self.slow_down)
        while self.queue and self.queue[0][0] < end_s:
            self.now, _, action, args = heapq.heappop(self.queue)
            action(*args)
        return self

    def arrive(self):
        """Take a request in, and plan the next one."""
        rate = max(0.001, self.per_s * self.rate_at(self.now))
        self.at(self.random.expovariate(rate), self.arrive)
        if self.now < self.order.duration_s:
            self.arrivals.append(self.now)
        number = self.random.choices(range(len(self.gates)), self.weights)[0]
        route = self.random.choices(self.routes, [r.weight for r in self.routes])[0]
        self.send(number, route, attempt=0)

    def ready(self, version):
        """Return the ready upstreams of a version."""
        of_version = [up for up in self.upstreams if up.version == version]
        if version == OLD:
            is_gone = self.ended and self.ended[0].phase is Phase.COMPLETED
            return [] if is_gone else of_version
        return of_version[: round(len(of_version) * self.capacity_at(self.now))]

    def send(self, number, route, attempt):
        """Send a request to the least used upstream that may have it."""
        gate = self.gates[number]
        new = [up.name for up in self.ready(NEW)]
        if attempt == 0:
            versions = gate.versions_for(SERVICE, route.name, new, self.now)
        else:
            versions = gate.versions_for_retry(SERVICE, new, self.now)
        allowed = [
            up
            for up in self.ready(OLD) + self.ready(NEW)
            if versions.allows(up.version)
        ]
        preferred = [up for up in allowed if up.name in versions.preferred]
        if not allowed:
            return
        up = min(
            preferred or allowed, key=lambda up: (up.running, self.random.random())
        )
        up.running += 1
        is_first = attempt == 0 and versions.only == NEW
        gate.on_sent(SERVICE, up.version, is_once=route.is_once, is_first=is_first)
        if up.version == NEW:
            self.sent_new.append(self.now)
        self.run_request(number, route, attempt, up)

    def run_request(self, number, route, attempt, up):
        """Plan the answer of an upstream."""
        duration_s = self.random.lognormvariate(0.0, 0.5) * route.mean_s
        duration_s *= max(1.0, up.running / self.slots)
        if up.slow_until > self.now:
            duration_s += up.slow_until - self.now
        is_failure = self.random.random() < route.failure_share
        is_bad = False
        if up.version == NEW and self.shows(route, up):
            if self.random.random() < self.fault.failures:
                is_failure = is_bad = True
            if self.random.random() < self.fault.slow:
                duration_s *= self.fault.factor
                is_bad = True
        if is_failure:
            duration_s *= 0.5
        duration_s += self.stalled_s(duration_s)
        self.at(
            duration_s, self.answer, number, route, attempt, up, duration_s, is_failure
        )
        if is_bad:
            self.at(duration_s, lambda: self.bad.append(self.now))

    def stalled_s(self, duration_s):
        """Return by how much stalls of all upstreams delay an answer that begins now.

        Args:
            duration_s: How long the answer takes without them, in seconds.
        """
        return sum(
            until_s - max(from_s, self.now)
            for from_s, until_s in self.stalls
            if self.now < until_s and self.now + duration_s > from_s
        )

    def shows(self, route, up):
        """Return whether the fault shows in a request."""
        fault = self.fault
        return (
            self.now >= fault.from_s
            and up.running >= fault.min_load * self.slots
            and fault.route in ("", route.name)
        )

    def answer(self, number, route, attempt, up, duration_s, is_failure):
        """Count an answer; retry a failure."""
        up.running -= 1
        gate = self.gates[number]
        gate.on_ended(SERVICE, up.version, is_once=route.is_once)
        if self.phase is Phase.COMPLETED and up.version == OLD and route.is_once:
            self.once_cut += 1
        gate.on_answer(
            SERVICE,
            route.name,
            100,
            up.version,
            duration_s,
            is_failure=is_failure,
        )
        if is_failure and not route.is_once and attempt < MAX_RETRIES:
            self.send(number, route, attempt + 1)

    def slow_down(self):
        """Slow one upstream down for 0.6 s."""
        self.random.choice(self.upstreams).slow_until = self.now + 0.6
        self.at(self.random.expovariate(self.noise_per_s), self.slow_down)

    def is_cut(self, number):
        """Return whether an entry is cut off."""
        return number in self.cut and self.now >= self.cut_at_s

    def send_news(self, number):
        """Send an entry's report to the others, and judge what it holds."""
        self.at(NEWS_INTERVAL_S, self.send_news, number)
        report = self.gates[number].report(SERVICE)
        self.heard[number][number] = report
        if not self.is_cut(number):
            for other in range(len(self.gates)):
                delay_s = self.random.random() * MAX_NEWS_DELAY_S
                self.at(delay_s, self.hear, other, number, report)
        self.judge(number)

    def hear(self, number, sender, report):
        """Take over the report of another entry."""
        if not self.is_cut(number):
            self.heard[number][sender] = report

    def judge(self, number):
        """Stop at once if the evidence that an entry holds is bad."""
        report = sum_reports(self.order, self.heard[number].values())
        recent = self.histories[number].recent(report, self.now)
        verdict = judge(report, recent)
        is_bad = verdict.outcome is Outcome.BAD
        self.gates[number].stop(SERVICE, verdict.reason if is_bad else "")

    def decide(self):
        """Decide as the coordinator, the first entry, and send the decision."""
        self.at(NEWS_INTERVAL_S, self.decide)
        capacity = Capacity(
            sum(self.slots for up in self.ready(OLD)),
            sum(self.slots for up in self.ready(NEW)),
        )
        is_up = self.is_store_up(self.now)
        if self.decision is None:
            decision = first_decision(self.order, capacity, 0.0, 1)
        else:
            live = [n for n in range(len(self.gates)) if not self.is_cut(n)]
            reports = [self.heard[0].get(n, Report(self.order)) for n in live]
            report = sum_reports(self.order, reports)
            decision = next_decision(
                self.decision,
                report,
                capacity,
                self.now,
                BOUNDS,
                recent=self.coordinator_history.recent(report, self.now),
                is_store_reachable=is_up,
            )
        is_news = decision is not self.decision
        self.decision = decision
        write_s = self.random.random() * MAX_STORE_DELAY_S if is_news else 0.0
        self.at(write_s, self.publish, decision)

    def publish(self, decision):
        """Send a decision that was written."""
        if decision.phase.is_final and self.ended is None:
            self.ended = (decision, self.now)
        for number in range(len(self.gates)):
            delay_s = self.random.random() * MAX_NEWS_DELAY_S
            self.at(delay_s, self.apply, number, decision)

    def apply(self, number, decision):
        """Take over a decision at an entry that is in touch."""
        if not self.is_cut(number):
            self.gates[number].apply(decision, self.now)

    @property
    def phase(self):
        """The final phase; None if there is none."""
        return self.ended[0].phase if self.ended else None

    @property
    def is_in_time(self):
        """Whether the roll-out ended within its duration."""
        return self.ended is not None and self.ended[1] <= self.order.duration_s

    @property
    def exposure(self):
        """Requests sent to the new version, relative to the bound."""
        fraction, tolerance = BOUNDS.exposure_fraction, BOUNDS.exposure_tolerance
        return len(self.sent_new) / (fraction * len(self.arrivals) + tolerance)

    @property
    def late_sends(self):
        """Requests sent later than 5 s after the 50th bad answer."""
        if len(self.bad) < 50:
            return 0
        limit_s = sorted(self.bad)[49] + BOUNDS.rollback_s
        return sum(1 for sent_at in self.sent_new if sent_at > limit_s)
