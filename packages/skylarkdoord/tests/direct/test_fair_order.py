"""The order of waiting requests in which customers share slots by their weights."""

import math
from typing import NamedTuple

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from skylarkdoord.direct import FleetConfig
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct.shares import _fair_order
from skylarkdoord.direct.shares._fair_order import FairOrder
from skylarkdoord.direct.shares._guard_queue import SlotQueue
from skylarkdoord.direct.shares._queue_order import Demand
from skylarkdoord.direct.shares._weights import CustomerWeights

from ._make import Clock, make_customer


class Item(NamedTuple):
    """A waiting request."""

    precedence: Precedence
    number: int
    demand: Demand


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


@pytest.fixture
def order(clock):
    """Return an order without requests."""
    return FairOrder(clock=clock)


def add(order, *customers, weight=1.0, start=0, tier=0):
    """Add one request for each customer named; return them."""
    items = [
        Item(Precedence(tier), start + number, Demand(name, weight))
        for number, name in enumerate(customers)
    ]
    for item in items:
        order.add(item)
    return items


def take(order, count):
    """Return the customers of the requests that are served next."""
    names = []
    for _ in range(count):
        item = next(order.in_order())
        order.take(item)
        names.append(item.demand.customer)
    return names


class TestFairOrder:
    """`FairOrder`."""

    def test_in_turn(self, order):
        """Customers take turns, however many requests wait."""
        add(order, *"aaaaaabb")
        assert take(order, 6) == list("ababaa")

    def test_tiers_first(self, order):
        """The more important tier goes first, whoever has had what."""
        add(order, "a", "a", "a")
        take(order, 2)
        add(order, "b", start=10, tier=1)
        assert take(order, 2) == ["a", "b"]

    def test_weights(self, order):
        """A customer of three times the weight gets three times the slots."""
        add(order, *["light"] * 20, weight=1.0)
        add(order, *["heavy"] * 20, weight=3.0, start=20)
        assert take(order, 16).count("heavy") == 12

    def test_corrected(self, order, clock):
        """A request that ran longer than estimated is charged for it."""
        items = add(order, *"aaaabbbb")
        assert take(order, 2) == ["a", "b"]
        clock.now += 0.5
        order.end(items[4].number)
        clock.now += 1.5
        order.end(items[0].number)
        assert take(order, 4) == list("bbba")

    def test_nothing_saved(self, order):
        """A customer that was idle gets no more than its turn."""
        add(order, *["a"] * 20)
        take(order, 10)
        add(order, *["b"] * 10, start=20)
        assert take(order, 4).count("b") == 2

    @pytest.mark.parametrize("weight", [0.0, -1.0, math.inf, math.nan])
    def test_bad_weight(self, order, weight):
        """A weight that can't be used leaves the former one in force."""
        add(order, *["a"] * 8, weight=1.0)
        add(order, *["b"] * 8, weight=3.0, start=10)
        add(order, "b", weight=weight, start=30)
        assert take(order, 8).count("b") == 6

    def test_state_dropped(self, order):
        """Nothing is left once no customer waits, holds a slot or is ahead."""
        items = add(order, *"abc")
        for item in items:
            order.remove(item)
        assert order.customers == 0
        assert not order.by_precedence
        assert not order.lanes

    def test_bounded(self, order, monkeypatch):
        """Customers beyond the limit share one state, and none is left waiting."""
        monkeypatch.setattr(_fair_order, "MAX_CUSTOMERS", 10)
        names = [f"customer-{number}" for number in range(50)]
        add(order, *names)
        assert order.customers <= 11
        assert sorted(take(order, 50)) == sorted(names)

    def test_idle_states_replaced(self, order, clock, monkeypatch):
        """Customers that are only ahead of others make room for those that wait."""
        monkeypatch.setattr(_fair_order, "MAX_CUSTOMERS", 10)
        for number in range(50):
            add(order, f"customer-{number}", start=number)
            take(order, 1)
            clock.now += 2.0
            order.end(number)
            assert order.customers <= 10

    def test_clock_stands_still(self, order):
        """Turns pass on although no slot takes any time."""
        add(order, *["a"] * 10, *["b"] * 10)
        names = []
        for _ in range(6):
            item = next(order.in_order())
            order.take(item)
            order.end(item.number)
            names.append(item.demand.customer)
        assert names.count("a") == 3


class FairSlotsMachine(RuleBasedStateMachine):
    """Arbitrary sequences of offers and withdrawals by customers of any weight."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.granted = set()
        self.order = FairOrder(clock=self.clock)
        self.queue = SlotQueue(
            lambda _, name: self.granted.add(name), clock=self.clock, order=self.order
        )
        self.queue.resize(2)
        self.count = 0

    @rule(
        customer=st.sampled_from("abcd"),
        tier=st.integers(0, 2),
        weight=st.sampled_from([0.0, 0.001, 1.0, 50.0, math.inf]),
    )
    def offer(self, customer, tier, weight):
        """Offer a request."""
        self.count += 1
        demand = Demand(customer, weight)
        self.queue.offer("s", str(self.count), Precedence(tier), demand)

    @precondition(lambda self: self.count)
    @rule(data=st.data())
    def withdraw(self, data):
        """Withdraw a request or return its slot."""
        number = data.draw(st.integers(1, self.count))
        self.queue.withdraw("s", str(number))

    @rule()
    def drop_stream(self):
        """Drop the stream; requests that hold slots stay."""
        self.queue.drop_waiting("s")

    @rule(slots=st.integers(0, 4))
    def resize(self, slots):
        """Change the number of slots."""
        self.queue.resize(slots)

    @rule(seconds=st.floats(0.0, 10.0))
    def pass_time(self, seconds):
        """Let time pass."""
        self.clock.now += seconds

    @invariant()
    def no_slot_idle(self):
        """No request waits while a slot is free, none is lost, no state is left."""
        if self.queue.waiting:
            assert len(self.queue.granted) >= self.queue.slots
        in_order = list(self.order.in_order())
        assert len(in_order) == len(self.queue.waiting) == len(self.order.lanes)
        assert in_order == sorted(in_order, key=lambda item: item.precedence)
        assert len(self.order.charges) == len(self.queue.granted)
        assert self.order.customers <= 4 * len(self.order.by_precedence)


TestFairSlotsMachine = FairSlotsMachine.TestCase
TestFairSlotsMachine.settings = settings(
    max_examples=100, derandomize=True, deadline=None
)


class TestWeights:
    """`CustomerWeights`."""

    @staticmethod
    def weights(*customers):
        """Return the weights of these customers."""
        config = FleetConfig(1, (), {}, customers)
        weights = CustomerWeights(lambda: config)
        return [weights.weight(customer) for customer in customers]

    def test_rates(self):
        """Weights follow rates; their mean is 1."""
        customers = [make_customer(rate=rate) for rate in (50.0, 100.0, 150.0)]
        assert self.weights(*customers) == [0.5, 1.0, 1.5]

    @pytest.mark.parametrize("rate", [0.0, -1.0, math.inf, math.nan])
    def test_one_without(self, rate):
        """All weigh the same if one has no rate that can be used."""
        customers = [make_customer(), make_customer(rate=rate)]
        assert self.weights(*customers) == [1.0, 1.0]

    def test_units(self):
        """All weigh the same if some rates count tokens and some requests."""
        customers = [make_customer(), make_customer(counts_tokens=False, rate=1.0)]
        assert self.weights(*customers) == [1.0, 1.0]

    def test_no_customer(self):
        """A request without a customer, or before any configuration, weighs 1."""
        assert CustomerWeights(lambda: None).weight(None) == 1.0
        assert CustomerWeights(lambda: None).weight(make_customer()) == 1.0
