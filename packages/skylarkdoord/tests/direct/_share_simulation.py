"""Entries and guards that share slots in simulated time, without a network."""

import heapq
import itertools
import math
import random
from typing import NamedTuple

from skylarkdoord.direct._lengths import AnswerLengths
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct._waiting import QueueState, Waiter
from skylarkdoord.direct.shares._answer_speed import fast_enough
from skylarkdoord.direct.shares._customer_shares import CustomerShares
from skylarkdoord.direct.shares._fair_order import FairOrder
from skylarkdoord.direct.shares._guard_queue import SlotQueue
from skylarkdoord.direct.shares._length_order import LengthOrder
from skylarkdoord.direct.shares._queue_order import Demand
from skylarkdoord.direct.shares._tier_shares import TierShares
from skylarkdoord.direct.shares._token_memory import TokenMemory

from ._make import make_admitted, make_request

# Time that a message takes between an entry and a guard.
DELAY_S = 0.002
MAX_OFFERS = 6
# Time after which a refused caller repeats its request.
REPEAT_DELAY_S = 0.01


class Arrival(NamedTuple):
    """A simulated request.

    Attributes:
        at: Time of arrival, in seconds.
        hold_s: Time for which it runs, in seconds.
        tier: Its tier.
        entry: Number of the entry that it reaches.
        timeout_s: Longest time that it waits, in seconds.
        is_long: Whether its answer is long for its tier.
        expected_tokens: Tokens that its caller expects in the answer, from which its
            entry finds whether it is long; 0 to go by `is_long`.
        limit_s: Time limit of its caller, in seconds.
        customer: Its customer.
        weight: The customer's weight.
        tokens: Tokens of its prompt and longest answer.
        repeats: Number of times that its caller repeats it if it is refused.
        repeat_of: Number of the first request that it repeats; None if it is the first.
    """

    at: float
    hold_s: float
    tier: int = 0
    entry: int = 0
    timeout_s: float = 0.4
    is_long: bool = False
    expected_tokens: int = 0
    limit_s: float = math.inf
    customer: str = ""
    weight: float = 1.0
    tokens: int = 0
    repeats: int = 0
    repeat_of: int | None = None


class EngineView(NamedTuple):
    """What an entry knows of an engine.

    Attributes:
        number: Number of its guard.
        tokens_per_s: Its speed; 0 if unknown.
    """

    number: int
    tokens_per_s: float


class StubSlot:
    """Stands in for the future of a grant."""

    is_granted = False

    def done(self):
        """Return whether a slot was granted."""
        return self.is_granted

    def cancelled(self):
        """Return that the request did not stop waiting by itself."""
        return False


class Simulation:
    """Plays arrivals against entries and guards.

    Args:
        entries: Number of entries.
        guards: Number of guards.
        slots: Slots of each engine.
        min_tier_ratio: As in the settings; None for strict tiers.
        is_fair: Whether customers share slots by their weights.
        memory: Tokens that guards reserve at most; None if they don't count them.
        slowness: Factors by which requests run longer, by number of the guard.

    Attributes:
        now: Simulated time, in seconds.
        clock: Returns the time that entries and guards see.
        slowdown: Factor by which requests that start now run longer.
        served: Numbers of the requests that got a slot.
        finished: Numbers of those that ended within their callers' time limits.
        peak_tokens: Most tokens that were at one engine at the same time.
        waited_s: Waiting time of each of these, in seconds.
    """

    def __init__(
        self,
        *,
        entries=1,
        guards=1,
        slots=8,
        min_tier_ratio=None,
        is_fair=False,
        memory=None,
        slowness=(),
    ):
        self.now = 0.0
        self.clock = lambda: self.now
        self.events = []
        self.order = itertools.count()
        self.rng = random.Random(5)
        self.slots = slots
        self.is_fair = is_fair
        self.memory = memory
        self.engine_tokens = dict.fromkeys(range(guards), 0)
        self.peak_tokens = 0
        self.slowdown = 1.0
        self.guards = {}
        for number in range(guards):
            self.add_guard(number)
        self.min_tier_ratio = min_tier_ratio
        new_shares = self.new_shares if is_fair else None
        self.states = [QueueState(new_shares) for _ in range(entries)]
        self.tiers = [self.new_tiers() for _ in range(entries)]
        self.lengths = [AnswerLengths() for _ in range(entries)]
        self.lost_entries = set()
        self.arrivals = []
        self.waiting = {}
        self.offered_to = {}
        self.slowness = dict(enumerate(slowness))
        self.served = set()
        self.finished = set()
        self.waited_s = {}

    def new_tiers(self):
        """Return the served shares of a new entry."""
        if self.min_tier_ratio is None:
            return None
        return TierShares(self.min_tier_ratio, clock=lambda: self.clock())

    def new_shares(self, tier):
        """Return the shares of customers at a new entry."""
        return CustomerShares(clock=lambda: self.clock())

    def add_guard(self, number):
        """Add a guard, or replace it by a new one."""
        queue = SlotQueue(
            lambda stream, name: self.after(DELAY_S, self.on_grant, number, name),
            clock=lambda: self.clock(),
            order=self.new_order(),
            memory=None if self.memory is None else TokenMemory(),
        )
        queue.set_memory(self.memory or 0)
        queue.resize(self.slots)
        self.guards[number] = queue

    def new_order(self):
        """Return the order of a new guard's queue."""
        if self.is_fair:
            return FairOrder(clock=lambda: self.clock())
        return LengthOrder()

    def after(self, delay_s, call, *args):
        """Call a function after a delay."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), call, args))

    def run(self, arrivals, faults=()):
        """Play the arrivals; faults are pairs of a time and a function."""
        self.arrivals = list(arrivals)
        for number, arrival in enumerate(self.arrivals):
            self.after(arrival.at, self.on_arrival, number)
        for at, fault in faults:
            self.after(at, fault)
        while self.events:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self

    def on_arrival(self, number):
        """Queue a request and offer it to the guards."""
        arrival = self.arrivals[number]
        if arrival.entry in self.lost_entries:
            return
        own = Precedence(arrival.tier)
        tiers = self.tiers[arrival.entry]
        is_long = self.is_long(arrival)
        precedence = own if tiers is None else tiers.promote(own, is_long=is_long)
        is_promoted = precedence != own
        waiter = Waiter(
            precedence,
            number,
            admitted=None,
            excluded=frozenset(),
            since=self.now,
            queue_timeout_s=arrival.timeout_s,
            slot=StubSlot(),
            is_promoted=is_promoted,
            demand=self.demand(number, is_long=is_long and not is_promoted),
        )
        state = self.states[arrival.entry]
        state.add(waiter)
        self.waiting[number] = waiter
        if state.would_time_out(waiter, self.clock()):
            self.end_wait(number, is_served=False)
            return
        guards = self.fast_enough(arrival)
        guards = self.rng.sample(guards, len(guards))[:MAX_OFFERS]
        self.offered_to[number] = guards
        for guard in guards:
            self.after(DELAY_S, self.on_offer, guard, number)
        self.after(arrival.timeout_s, self.on_timeout, number)

    def is_long(self, arrival):
        """Return whether an entry takes a request's answer for long."""
        if not arrival.expected_tokens:
            return arrival.is_long
        request = make_request(expected_tokens=arrival.expected_tokens)
        admitted = make_admitted(request, rank=arrival.tier)
        return self.lengths[arrival.entry].is_long(admitted)

    def fast_enough(self, arrival):
        """Return the guards to which an entry may offer a request."""
        engines = [
            EngineView(number, guard.speed.tokens_per_s)
            for number, guard in sorted(self.guards.items())
        ]
        chosen = fast_enough(engines, arrival.expected_tokens, arrival.limit_s)
        return [engine.number for engine in chosen]

    def on_offer(self, guard, number):
        """Queue an offer at a guard."""
        if guard in self.guards:
            stream = f"entry-{self.arrivals[number].entry}"
            waiter = self.waiting.get(number)
            if waiter is not None:
                self.guards[guard].offer(
                    stream, str(number), waiter.precedence, waiter.demand
                )

    def demand(self, number, *, is_long):
        """Return the demand that an offer states."""
        arrival = self.arrivals[number]
        return Demand(
            arrival.customer,
            arrival.weight,
            max_tokens=arrival.tokens,
            is_long=is_long,
            expected_tokens=arrival.expected_tokens,
        )

    def on_grant(self, guard, name):
        """Run the request, or return the slot if it no longer waits."""
        number = int(name)
        arrival = self.arrivals[number]
        if number not in self.waiting:
            self.after(DELAY_S, self.on_withdraw, guard, number)
            return
        self.waited_s[number] = self.now - arrival.at
        first = arrival.repeat_of
        self.served.add(number if first is None else first)
        self.engine_tokens[guard] += arrival.tokens
        self.peak_tokens = max(self.peak_tokens, self.engine_tokens[guard])
        self.end_wait(number, is_served=True)
        for other in self.offered_to[number]:
            if other != guard:
                self.after(DELAY_S, self.on_withdraw, other, number)
        hold_s = arrival.hold_s * self.slowdown * self.slowness.get(guard, 1.0)
        remaining_s = arrival.at + arrival.limit_s - self.now
        is_answered = hold_s <= remaining_s
        if is_answered:
            self.finished.add(number if first is None else first)
        self.after(min(hold_s, remaining_s), self.on_end, guard, number, is_answered)

    def on_end(self, guard, number, is_answered):
        """Return the slot of a request that has ended."""
        self.engine_tokens[guard] -= self.arrivals[number].tokens
        entry = self.arrivals[number].entry
        if entry not in self.lost_entries:
            self.states[entry].on_released(number)
            self.on_withdraw(guard, number, is_answered=is_answered)

    def on_withdraw(self, guard, number, *, is_answered=False):
        """Withdraw a request from a guard."""
        if guard in self.guards:
            stream = f"entry-{self.arrivals[number].entry}"
            self.guards[guard].withdraw(stream, str(number), is_answered=is_answered)

    def on_timeout(self, number):
        """Refuse a request that has waited too long."""
        if number not in self.waiting:
            return
        waiter = self.waiting[number]
        self.states[self.arrivals[number].entry].record_timeout(waiter, self.clock())
        self.end_wait(number, is_served=False)
        for guard in self.offered_to[number]:
            self.after(DELAY_S, self.on_withdraw, guard, number)

    def end_wait(self, number, *, is_served):
        """Remove a request from its entry's queue."""
        waiter = self.waiting.pop(number)
        arrival = self.arrivals[number]
        waiter.slot.is_granted = is_served
        self.states[arrival.entry].remove(waiter)
        if not is_served and arrival.repeats:
            self.repeat(number)
        tiers = self.tiers[arrival.entry]
        if tiers is not None:
            tiers.record(
                arrival.tier, is_served=is_served, is_promoted=waiter.is_promoted
            )

    def repeat(self, number):
        """Let the caller of a refused request repeat it."""
        arrival = self.arrivals[number]
        first = number if arrival.repeat_of is None else arrival.repeat_of
        self.arrivals.append(
            arrival._replace(
                at=self.now + REPEAT_DELAY_S,
                repeats=arrival.repeats - 1,
                repeat_of=first,
            )
        )
        self.after(REPEAT_DELAY_S, self.on_arrival, len(self.arrivals) - 1)

    def lose_entry(self, entry):
        """Stop an entry; guards free its slots after the time for orphans."""
        self.lost_entries.add(entry)
        for number in [n for n in self.waiting if self.arrivals[n].entry == entry]:
            del self.waiting[number]
        for guard in self.guards.values():
            for name in guard.drop_waiting(f"entry-{entry}"):
                self.after(2.0, guard.withdraw, f"entry-{entry}", name)

    def lose_guard(self, guard):
        """Stop a guard and its engine; what runs there ends unserved."""
        del self.guards[guard]

    def share(self, chosen):
        """Return the served share of the chosen arrivals."""
        numbers = [
            number
            for number, arrival in enumerate(self.arrivals)
            if arrival.repeat_of is None and chosen(arrival)
        ]
        return len(self.served.intersection(numbers)) / len(numbers)


def poisson(rng, rate, start_s, end_s):
    """Return times of arrival at a mean rate a second."""
    times = []
    at = start_s + rng.expovariate(rate)
    while at < end_s:
        times.append(at)
        at += rng.expovariate(rate)
    return times
