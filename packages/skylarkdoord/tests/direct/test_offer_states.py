"""State machine of the offers of waiting requests to guards."""

import asyncio
import time
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from skylarkdoord.direct._adapter import UpstreamHead
from skylarkdoord.direct._scheduler import Scheduler
from skylarkdoord.direct._upstreams import Upstreams

from ._make import make_admitted, make_record, make_request
from .test_scheduler import StubFleet

GUARDS = 2
SLOTS = 2
NOW_S = 1000.0
guard_numbers = st.integers(0, GUARDS - 1)


def stopped_clock():
    """Return a context in which the monotonic clock stands still."""
    return mock.patch("time.monotonic", return_value=NOW_S)


class SlotGuard:
    """A guard that grants its slots when the test says so.

    Args:
        record: The upstream.
        scheduler: Receives the grants.

    Attributes:
        offers: Requests offered on the present stream and not granted.
        granted: Requests that hold a slot.
    """

    def __init__(self, record, scheduler):
        self.record = record
        self.scheduler = scheduler
        self.is_connected = True
        self.room = SLOTS
        self.running = 0
        self.tokens_per_s = 0.0
        self.load_at = time.monotonic()
        self.offers_since_report = 0
        self.offers = []
        self.granted = []

    def offer(self, request, precedence, demand):
        """Keep an offer; each request is offered once at a time."""
        assert self.is_connected
        assert request not in self.offers
        self.offers.append(request)

    def ahead(self, tier):
        """Return that no request waits at the guard."""
        return 0

    def withdraw(self, request, *, is_answered=False):
        """Drop an offer or free the slot."""
        if request in self.offers:
            self.offers.remove(request)
        if request in self.granted:
            self.granted.remove(request)

    def grant(self):
        """Grant a slot to the first request, if one is free."""
        if self.offers and len(self.granted) < SLOTS:
            request = self.offers.pop(0)
            self.granted.append(request)
            self.scheduler.on_grant(self, request)


class OfferStates(RuleBasedStateMachine):
    """Requests come, get slots and leave; guards grant, leave and come back.

    Time stands still, so that no queue timeout depends on the speed of the machine.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.requests = []
        self.held = []
        self.numbers = 0

    def teardown(self):
        """Let all requests leave; nothing may be left behind."""
        for task in self.requests:
            task.cancel()
        self.run()
        for slot in self.held:
            self.run(lambda slot=slot: self.scheduler.release(slot))
        assert not self.scheduler.waiters
        for guard in self.guards:
            assert not guard.granted
        self.loop.close()

    @initialize()
    def start(self):
        """Start with connected guards and no requests."""
        records = [make_record(f"i-{n}", slots=SLOTS) for n in range(GUARDS)]
        self.upstreams = Upstreams(StubFleet(records), clock=lambda: NOW_S)
        with stopped_clock():
            self.scheduler = Scheduler(self.upstreams, data_centre="north")
            self.guards = [SlotGuard(record, self.scheduler) for record in records]
        links = {guard.record.instance: guard for guard in self.guards}
        self.scheduler.choice.guard_link_of = lambda record: (
            links[record.instance] if links[record.instance].is_connected else None
        )

    def run(self, action=lambda: None):
        """Act, and let the tasks run until they wait."""

        async def settle():
            action()
            for _ in range(5):
                await asyncio.sleep(0)

        with stopped_clock():
            self.loop.run_until_complete(settle())
        for task in [task for task in self.requests if task.done()]:
            self.requests.remove(task)
            if not task.cancelled() and task.exception() is None:
                self.held.append(task.result())

    @rule()
    def arrive(self):
        """A request begins to wait."""
        self.numbers += 1
        with stopped_clock():
            request = make_request(request_id=f"r{self.numbers}")
        acquire = self.scheduler.acquire(make_admitted(request))
        self.requests.append(self.loop.create_task(acquire))
        self.run()

    @rule(number=guard_numbers)
    def grant(self, number):
        """A guard grants a slot, also one whose stream is about to close."""
        self.run(self.guards[number].grant)

    @rule(number=guard_numbers)
    def grant_and_leave(self, number):
        """A guard grants a slot and leaves before the request runs."""

        def act():
            self.guards[number].grant()
            self.lose(self.guards[number])

        self.run(act)

    def lose(self, guard):
        """Disconnect a guard."""
        if guard.is_connected:
            guard.is_connected = False
            self.scheduler.on_guard_lost(guard)

    @rule(number=guard_numbers)
    def leave(self, number):
        """A guard says that it leaves; its stream stays open for a moment."""
        self.run(lambda: self.lose(self.guards[number]))

    @rule(number=guard_numbers)
    def come_back(self, number):
        """A guard that left is connected anew and knows no offers."""
        guard = self.guards[number]
        if not guard.is_connected:
            guard.offers = []
            guard.is_connected = True
            self.run(lambda: self.scheduler.on_guard_connected(guard))

    @rule(number=guard_numbers)
    def want_none(self, number):
        """An upstream states that it wants no requests for a time."""
        head = UpstreamHead("r", False, False, True, False, pause_s=60.0)
        self.run(lambda: self.upstreams.on_head(self.guards[number].record, head))

    @rule(number=guard_numbers)
    def want_some(self, number):
        """An upstream wants requests again."""
        record = self.guards[number].record
        self.upstreams.get(record).wants_none_until = 0.0
        self.run(lambda: self.scheduler.on_accepting(record.service))

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def give_up(self, data):
        """A caller that waits disconnects."""
        data.draw(st.sampled_from(self.requests)).cancel()
        self.run()

    @precondition(lambda self: self.held)
    @rule(data=st.data())
    def end(self, data):
        """A request ends and frees its slot."""
        slot = data.draw(st.sampled_from(self.held))
        self.held.remove(slot)
        self.run(lambda: self.scheduler.release(slot))

    @invariant()
    def no_slot_lost(self):
        """Every slot that a guard counts belongs to a request, and to only one."""
        if not hasattr(self, "guards"):
            return
        self.run()
        names = [slot.request for slot in self.held]
        assert len(names) == len(set(names))
        for guard in self.guards:
            holders = {slot.request for slot in self.held if slot.guard is guard}
            assert set(guard.granted) == holders
        for upstream in self.upstreams.tracked.values():
            running = sum(slot.upstream is upstream for slot in self.held)
            assert upstream.running == running


TestOfferStates = OfferStates.TestCase
TestOfferStates.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None
)


class TestLeavingGuard:
    """A guard that has said that it leaves."""

    # Guards against a grant of a leaving guard that ends the entry.
    def test_late_grant(self):
        """A grant for a void offer is returned while its upstream wants no requests."""
        state = OfferStates()
        state.start()
        state.arrive()
        for number in range(GUARDS):
            state.want_none(number)
            state.leave(number)
        for number in range(GUARDS):
            state.grant(number)
        state.no_slot_lost()
        assert not state.held
        state.teardown()
