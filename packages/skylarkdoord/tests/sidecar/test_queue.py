"""Tests of `skylarkdoord.sidecar._queue` and `_fairness`."""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from skylarkdoor.wire import pb
from skylarkdoord.sidecar import OfferQueue

LONG_MS = 60_000


def offer(
    name, *, tier=0, customer="garden", weight=1.0, deadline_ms=LONG_MS, is_copy=False
):
    """Return an offer."""
    return pb.Offer(
        request_id=name,
        team="riga",
        customer=customer,
        tier=tier,
        weight=weight,
        deadline_ms=deadline_ms,
        is_copy=is_copy,
    )


def fill(queue, *offers, work_s=1.0):
    """Push the offers at time 0."""
    for item in offers:
        queue.push(item, peer="entry#0", now=0.0, work_s=work_s)


def pop_all(queue):
    """Pop all offers and return their request ids in order."""
    return [queue.pop().offer.request_id for _ in range(len(queue))]


@pytest.fixture
def queue():
    """Return a queue of at most 100 offers."""
    return OfferQueue(limit=100)


class TestOrder:
    """Order in which offers leave the queue."""

    def test_tier_first(self, queue):
        """Offers of higher tiers leave first, regardless of arrival."""
        fill(queue, offer("low", tier=2), offer("mid", tier=1), offer("high"))
        assert pop_all(queue) == ["high", "mid", "low"]

    def test_deadline_inside_customer(self, queue):
        """Offers of one customer leave in order of deadline."""
        fill(queue, offer("late"), offer("soon", deadline_ms=1000))
        assert pop_all(queue) == ["soon", "late"]

    def test_cache_hit_advances_deadline(self, queue):
        """The prefill time saved by a cache hit moves an offer forward."""
        fill(queue, offer("miss", deadline_ms=5000))
        queue.push(
            offer("hit", deadline_ms=6000), peer="entry#0", now=0.0, saved_prefill_s=2.0
        )
        assert pop_all(queue) == ["hit", "miss"]

    def test_small_customer_not_starved(self, queue):
        """A customer with one offer doesn't wait for all offers of another."""
        fill(queue, *(offer(f"big{n}", customer="big") for n in range(50)))
        fill(queue, offer("small", customer="small"))
        assert "small" in pop_all(queue)[:2]

    def test_weights(self, queue):
        """Shares are proportional to the weights."""
        for number in range(30):
            fill(queue, offer(f"a{number}", customer="a", weight=3.0))
            fill(queue, offer(f"b{number}", customer="b"))
        first = pop_all(queue)[:20]
        assert sum(name.startswith("a") for name in first) == 15

    def test_shares_by_work(self, queue):
        """Shares are measured in work: fewer long requests are served than short."""
        for number in range(20):
            fill(queue, offer(f"long{number}", customer="long"), work_s=4.0)
            fill(queue, offer(f"short{number}", customer="short"), work_s=1.0)
        first = pop_all(queue)[:10]
        assert sum(name.startswith("short") for name in first) == 8

    def test_refund(self, queue):
        """The customer isn't charged for an unused grant."""
        fill(queue, offer("a1", customer="a"), offer("a2", customer="a"))
        fill(queue, offer("b1", customer="b"), offer("b2", customer="b"))
        queue.refund(queue.pop())
        assert queue.pop().offer.customer == "a"

    def test_idle_time_earns_no_credit(self, queue):
        """A customer without offers accumulates no credit for later."""
        fill(queue, *(offer(f"a{n}", customer="a") for n in range(20)))
        for _ in range(10):
            queue.pop()
        fill(queue, *(offer(f"b{n}", customer="b") for n in range(10)))
        first = pop_all(queue)[:6]
        assert sum(name.startswith("a") for name in first) >= 2


class TestDisplacement:
    """Displacement of offers from a full queue."""

    def test_newest_of_lowest_tier(self):
        """An offer of a higher tier displaces the newest of the lowest tier."""
        queue = OfferQueue(limit=3)
        fill(queue, offer("mid", tier=1), offer("old", tier=2), offer("new", tier=2))
        added, displaced = queue.push(offer("high"), peer="entry#0", now=0.0)
        assert added
        assert displaced.offer.request_id == "new"

    def test_copy_is_displaced(self):
        """A copy is displaced by an offer of its tier that isn't a copy."""
        queue = OfferQueue(limit=2)
        fill(queue, offer("copy", tier=1, is_copy=True), offer("only", tier=1))
        added, displaced = queue.push(offer("new", tier=1), peer="entry#0", now=0.0)
        assert added
        assert displaced.offer.request_id == "copy"

    def test_copy_displaces_no_copy(self):
        """A copy displaces no offer of its own tier."""
        queue = OfferQueue(limit=1)
        fill(queue, offer("copy", tier=1, is_copy=True))
        new = offer("new", tier=1, is_copy=True)
        assert queue.push(new, peer="entry#0", now=0.0) == (False, None)

    def test_lower_tier_before_copy(self):
        """An offer of a lower tier is displaced before a copy of the own tier."""
        queue = OfferQueue(limit=2)
        fill(queue, offer("copy", tier=1, is_copy=True), offer("low", tier=2))
        _, displaced = queue.push(offer("new", tier=1), peer="entry#0", now=0.0)
        assert displaced.offer.request_id == "low"

    def test_equal_tier_is_refused(self):
        """An offer displaces no other offer of its tier, except copies."""
        queue = OfferQueue(limit=1)
        fill(queue, offer("first", tier=1))
        assert queue.push(offer("second", tier=1), peer="entry#0", now=0.0) == (
            False,
            None,
        )


class TestLateness:
    """Offers that can no longer meet their deadline."""

    def test_late(self, queue):
        """An offer is late when less time remains than its estimated work."""
        fill(queue, offer("tight", deadline_ms=3000), work_s=1.0)
        assert queue.next_late_at() == pytest.approx(2.0)
        assert queue.find_late(1.9) is None
        assert queue.find_late(2.1).offer.request_id == "tight"


class QueueMachine(RuleBasedStateMachine):
    """Random pushes, pops, withdrawals and refunds against a plain model."""

    def __init__(self):
        super().__init__()
        self.queue = OfferQueue(limit=8)
        self.numbers = itertools.count()
        self.model = {}
        self.popped = []

    @rule(
        tier=st.integers(0, 3),
        customer=st.sampled_from("abc"),
        deadline_ms=st.integers(1, 5000),
        work_s=st.floats(0, 5),
        weight=st.sampled_from([0.5, 1.0, 4.0]),
    )
    def push(self, tier, customer, deadline_ms, work_s, weight):
        """No offer is refused while one of a lower tier waits."""
        name = str(next(self.numbers))
        new = offer(
            name, tier=tier, customer=customer, weight=weight, deadline_ms=deadline_ms
        )
        lowest = max(self.model.values(), default=-1)
        was_full = len(self.model) == 8
        added, displaced = self.queue.push(new, peer="p", now=0.0, work_s=work_s)
        assert added == (not was_full or lowest > tier)
        if displaced is not None:
            assert was_full
            assert displaced.offer.tier == lowest
            ids = [int(key) for key, rank in self.model.items() if rank == lowest]
            assert int(displaced.offer.request_id) == max(ids)
            del self.model[displaced.offer.request_id]
        if added:
            self.model[name] = tier

    @precondition(lambda self: self.model)
    @rule()
    def pop(self):
        """The highest waiting tier leaves first."""
        waiting = self.queue.pop()
        assert waiting.offer.tier == min(self.model.values())
        del self.model[waiting.offer.request_id]
        self.popped.append(waiting)

    @precondition(lambda self: self.model)
    @rule(data=st.data())
    def withdraw(self, data):
        """Any offer can be withdrawn once."""
        name = data.draw(st.sampled_from(sorted(self.model)))
        assert self.queue.remove(name).offer.request_id == name
        assert self.queue.remove(name) is None
        del self.model[name]

    @precondition(lambda self: self.popped)
    @rule()
    def refund(self):
        """A refund is accepted at any time."""
        self.queue.refund(self.popped.pop())

    @invariant()
    def agrees(self):
        """Counts and content agree with the model."""
        assert len(self.queue) == len(self.model)
        counts = self.queue.waiting_by_tier()
        assert sum(counts) == len(self.model)
        for rank, count in enumerate(counts):
            assert count == list(self.model.values()).count(rank)
        assert {item.offer.request_id for item in self.queue.all()} == set(self.model)


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
