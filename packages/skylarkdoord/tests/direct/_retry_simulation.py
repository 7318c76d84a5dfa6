"""A fleet of entries whose retry limiters share one budget, in simulated time."""

import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

from skylarkdoord._retry_limiter import Retry, RetryBudget, RetryLimiter

from ._make import SERVICE, Clock

STEP_S = 0.1
STEPS_PER_S = 10
DURATION_S = 60


class Absence(NamedTuple):
    """A time in which some entries get no requests.

    Attributes:
        at: Its begin, in seconds.
        for_s: Its length, in seconds.
        share: Share of the entries, from 0 to 1.
        is_restart: Whether the entries end and start anew afterwards, rather than go
            on without requests.
    """

    at: float
    for_s: float
    share: float
    is_restart: bool = True


class Load(NamedTuple):
    """Requests and disruptions of a simulated fleet.

    Attributes:
        entries: Number of entries.
        requests_per_s: Requests for the service, over all entries, as a function of
            the time in seconds.
        retries_from: Time from which each entry makes all retries that it may, in
            seconds.
        slots_from: Time before which approved retries wait for a slot, in seconds.
        absences: When entries get no requests.
    """

    entries: int = 34
    requests_per_s: Callable[[float], float] = lambda at: 300.0
    retries_from: float = 12.0
    slots_from: float = 0.0
    absences: tuple[Absence, ...] = ()


class SimulatedEntry:
    """One entry of the fleet.

    Args:
        fleet: The fleet.

    Attributes:
        limiter: Limiter of the present incarnation.
        waiting: Approved retries that wait for a slot.
        absent_until: Time until which it gets no requests, in seconds.
        is_ended: Whether it does not run meanwhile.
    """

    def __init__(self, fleet: "RetryFleet") -> None:
        self.fleet = fleet
        self.absent_until = 0.0
        self.is_ended = False
        self.start()

    def start(self) -> None:
        """Start a new incarnation."""
        self.is_ended = False
        self.waiting: list[Retry] = []
        self.limiter = RetryLimiter(
            self.fleet.budget,
            sharing_entries=lambda: self.fleet.load.entries,
            clock=self.fleet.clock,
        )

    def send_waiting(self) -> int:
        """Send the retries that wait; return how many the budget still allows."""
        sent = sum(retry.send() for retry in self.waiting)
        self.waiting.clear()
        return sent


class RetryFleet:
    """Deals requests to entries and counts requests and retries in each step.

    Args:
        load: Requests and disruptions.
        budget: Budget of all entries together.
        seed: Seed of the choices of entries.

    Attributes:
        requests: Requests by step.
        retries: Retries by step.
    """

    def __init__(self, load: Load, budget: RetryBudget, seed: int = 1) -> None:
        self.load = load
        self.budget = budget
        self.random = random.Random(seed)
        self.clock = Clock()
        self.began = self.clock.now
        self.entries = [SimulatedEntry(self) for _ in range(load.entries)]
        self.requests: list[int] = []
        self.retries: list[int] = []

    def run(self) -> None:
        """Simulate the whole duration."""
        for step in range(DURATION_S * STEPS_PER_S):
            self.step(step / STEPS_PER_S)

    def step(self, at: float) -> None:
        """Simulate one step that begins at a time in seconds."""
        self.clock.now = self.began + at
        self.begin_absences(at)
        present = [entry for entry in self.entries if entry.absent_until <= at]
        for entry in present:
            if entry.is_ended:
                entry.start()
        requests = self.arrivals(at)
        for _ in range(requests):
            self.random.choice(present).limiter.count_request(SERVICE)
        self.requests.append(requests)
        self.retries.append(self.spend(at))

    def arrivals(self, at: float) -> int:
        """Return the number of requests in the step that begins at a time."""
        expected = self.load.requests_per_s(at) * STEP_S
        return int(expected) + (self.random.random() < expected % 1)

    def begin_absences(self, at: float) -> None:
        """Let the absences begin that are due."""
        for absence in self.load.absences:
            if abs(absence.at - at) >= STEP_S / 2:
                continue
            count = round(absence.share * len(self.entries))
            for entry in self.random.sample(self.entries, count):
                entry.absent_until = at + absence.for_s
                entry.is_ended = absence.is_restart

    def spend(self, at: float) -> int:
        """Make all retries that running entries may make; return their number."""
        if at < self.load.retries_from:
            return 0
        sent = 0
        for entry in self.entries:
            if entry.is_ended:
                continue
            while (retry := entry.limiter.approve(SERVICE)) is not None:
                entry.waiting.append(retry)
            if at >= self.load.slots_from:
                sent += entry.send_waiting()
        return sent

    def windows(self) -> Iterator[tuple[int, float]]:
        """Yield the retries and the allowed retries of each window.

        Requests count in the window, in the one before, or in the one that begins
        half a window earlier, whichever has most.
        """
        length = round(self.budget.window_s * STEPS_PER_S)
        for end in range(length, len(self.retries) + 1):
            requests = max(
                sum(self.requests[max(0, end - length - back) : max(0, end - back)])
                for back in (0, length // 2, length)
            )
            allowed = self.budget.ratio * requests + self.budget.slack
            yield sum(self.retries[end - length : end]), allowed

    def worst_window(self) -> float:
        """Return the highest ratio of retries to allowed retries of all windows."""
        return max(retries / allowed for retries, allowed in self.windows())
