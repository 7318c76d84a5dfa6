"""The queue of a guard for the slots of one upstream."""

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct.shares._guard_queue import SlotQueue
from skylarkdoord.direct.shares._queue_order import Demand


@pytest.fixture
def granted():
    """Return the list of granted requests."""
    return []


@pytest.fixture
def queue(granted):
    """Return a queue without slots."""
    return SlotQueue(lambda stream, request: granted.append(request))


class TestSlotQueue:
    """`SlotQueue`."""

    def test_free_slot(self, queue, granted):
        """A request is granted at once if a slot is free."""
        queue.resize(1)
        queue.offer("s", "a", Precedence(0))
        assert granted == ["a"]
        assert queue.counts().is_full

    def test_order(self, queue, granted):
        """Order is by tier, then by whether requests are late, then by age."""
        queue.offer("s", "low", Precedence(2))
        queue.offer("s", "late", Precedence(1, is_late=True))
        queue.offer("t", "first", Precedence(1))
        queue.offer("s", "second", Precedence(1))
        queue.resize(4)
        assert granted == ["first", "second", "late", "low"]

    def test_long_answers(self, queue, granted):
        """Long answers go after short ones, before late requests and lower tiers."""
        queue.offer("s", "low", Precedence(2))
        queue.offer("s", "long", Precedence(1), Demand(is_long=True))
        queue.offer("s", "late", Precedence(1, is_late=True))
        queue.offer("s", "short", Precedence(1))
        queue.resize(4)
        assert granted == ["short", "long", "late", "low"]

    def test_slot_returned(self, queue, granted):
        """A returned slot goes to the next request."""
        queue.resize(1)
        queue.offer("s", "a", Precedence(0))
        queue.offer("s", "b", Precedence(0))
        queue.withdraw("s", "a")
        assert granted == ["a", "b"]

    def test_withdrawn(self, queue, granted):
        """A withdrawn request gets no slot."""
        queue.offer("s", "a", Precedence(0))
        queue.withdraw("s", "a")
        queue.resize(1)
        assert granted == []

    def test_stream_lost(self, queue, granted):
        """A lost stream's waiting requests are removed; the others keep their slots."""
        queue.resize(1)
        queue.offer("s", "runs", Precedence(0))
        queue.offer("s", "waits", Precedence(0))
        queue.offer("t", "other", Precedence(0))
        assert queue.drop_waiting("s") == ["runs"]
        assert granted == ["runs"]
        queue.withdraw("s", "runs")
        assert granted == ["runs", "other"]

    def test_same_name(self, queue, granted):
        """Streams may use the same request names; a repeated offer is ignored."""
        queue.resize(4)
        queue.offer("s", "1", Precedence(0))
        queue.offer("t", "1", Precedence(0))
        queue.offer("s", "1", Precedence(0))
        assert granted == ["1", "1"]

    def test_fewer_slots(self, queue, granted):
        """With fewer slots, granted ones stay and no more are granted."""
        queue.resize(2)
        queue.offer("s", "a", Precedence(0))
        queue.offer("s", "b", Precedence(0))
        queue.resize(1)
        queue.offer("s", "c", Precedence(0))
        queue.withdraw("s", "a")
        assert granted == ["a", "b"]


NAMES = st.sampled_from(["a", "b", "c", "d", "e"])
STREAMS = st.sampled_from(["s", "t"])


class SlotQueueMachine(RuleBasedStateMachine):
    """Arbitrary sequences of offers, withdrawals, lost streams and resizes."""

    def __init__(self):
        super().__init__()
        self.queue = SlotQueue(self.on_grant)
        self.waiting = {}
        self.running = set()
        self.slots = 2
        self.queue.resize(2)

    def on_grant(self, stream, request):
        """Check that no request with higher precedence is waiting."""
        key = (stream, request)
        order = self.waiting.pop(key)
        assert all(order <= other for other in self.waiting.values())
        self.running.add(key)

    @rule(stream=STREAMS, name=NAMES, tier=st.integers(0, 2), late=st.booleans())
    def offer(self, stream, name, tier, late):
        """Offer a request."""
        key = (stream, name)
        if key not in self.waiting and key not in self.running:
            self.waiting[key] = (tier, late)
        self.queue.offer(stream, name, Precedence(tier, is_late=late))

    @rule(stream=STREAMS, name=NAMES)
    def withdraw(self, stream, name):
        """Withdraw a request or return its slot."""
        self.waiting.pop((stream, name), None)
        self.running.discard((stream, name))
        self.queue.withdraw(stream, name)

    @rule(stream=STREAMS)
    def drop_stream(self, stream):
        """Drop a stream."""
        self.waiting = {k: v for k, v in self.waiting.items() if k[0] != stream}
        names = {name for holder, name in self.running if holder == stream}
        assert set(self.queue.drop_waiting(stream)) == names

    @rule(slots=st.integers(0, 4))
    def resize(self, slots):
        """Change the number of slots."""
        self.slots = slots
        self.queue.resize(slots)

    @invariant()
    def no_slot_idle(self):
        """No request waits while a slot is free, and no request is lost."""
        assert set(self.queue.waiting) == set(self.waiting)
        assert set(self.queue.granted) == self.running
        if self.waiting:
            assert len(self.running) >= self.slots


TestSlotQueueMachine = SlotQueueMachine.TestCase
TestSlotQueueMachine.settings = settings(
    max_examples=100, derandomize=True, deadline=None
)
