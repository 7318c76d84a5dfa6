"""Tests of `skylarkdoord.sidecar._scheduler`."""

import itertools

import pytest

from skylarkdoor.wire import pb
from skylarkdoord.sidecar import Phase


class Entry:
    """The entry's side of a stream to a scheduler."""

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.numbers = itertools.count()
        self.received = []
        scheduler.connect("entry#0", self.received.append)

    def offer(self, *, tier=1, deadline_ms=60_000, **fields):
        """Offer a request; returns its id."""
        name = f"r{next(self.numbers)}"
        offer = pb.Offer(
            request_id=name,
            tier=tier,
            deadline_ms=deadline_ms,
            model="garden-7b",
            **fields,
        )
        self.scheduler.receive(offer, "entry#0")
        return name

    def grants(self):
        """Return the grants received so far by request id."""
        found = [m.grant for m in self.received if m.WhichOneof("kind") == "grant"]
        return {grant.request_id: grant for grant in found}

    def refusals(self):
        """Return the refusals received so far by request id."""
        found = [m.refusal for m in self.received if m.WhichOneof("kind") == "refusal"]
        return {refusal.request_id: refusal for refusal in found}

    def run(self, request_id):
        """Use the grant of a request and dispatch the request to the upstream."""
        grant = self.grants()[request_id]
        self.scheduler.accept(request_id, grant.grant, grant.incarnation)
        self.scheduler.ledger.dispatch(request_id)


@pytest.fixture
def start(make_scheduler):
    """Return a function that makes a scheduler and an entry's stream to it."""

    def make(**fields):
        fields = {"max_running": 1, "queue_limit": 2, **fields}
        return Entry(make_scheduler(**fields))

    return make


class TestGrants:
    """Slots of the upstream."""

    async def test_limit(self, start):
        """The number of grants doesn't exceed the limit, and free slots are reused."""
        entry = start()
        first, second = entry.offer(), entry.offer()
        assert set(entry.grants()) == {first}
        entry.run(first)
        entry.scheduler.finish(first, "status 200")
        assert set(entry.grants()) == {first, second}

    async def test_withdrawn_grant(self, start):
        """The slot of a withdrawn grant is granted to the next offer."""
        entry = start()
        first, second = entry.offer(), entry.offer()
        entry.scheduler.withdraw(first)
        assert set(entry.grants()) == {first, second}
        assert entry.scheduler.running == 1

    async def test_tombstone_frees_slot(self, start):
        """A repeated tombstone of an accepted request frees its slot once."""
        entry = start()
        first = entry.offer()
        entry.run(entry.offer()) if first not in entry.grants() else None
        grant = entry.grants()[first]
        entry.scheduler.accept(first, grant.grant, grant.incarnation)
        assert entry.scheduler.tombstone(first) is Phase.TOMBSTONED
        assert entry.scheduler.tombstone(first) is Phase.TOMBSTONED
        assert entry.scheduler.running == 0

    async def test_pending_prefill(self, start):
        """No request is granted while a long prompt is still being computed."""
        entry = start(max_running=8)
        prefill = entry.scheduler.capacity.estimates.of_prefill("garden-7b")
        prefill.learn(1000, 1.0)
        entry.scheduler.capacity.estimates.touch()
        long = entry.offer(prompt_tokens=2000)
        short = entry.offer(prompt_tokens=10, tier=0)
        assert set(entry.grants()) == {long}
        entry.run(long)
        entry.scheduler.on_chunk(long, b'data: {"x"}\n\n')
        assert set(entry.grants()) == {long, short}

    async def test_disconnect(self, start):
        """The waiting offers of a lost stream are dropped; its grants stay."""
        entry = start()
        first, second = entry.offer(), entry.offer()
        entry.scheduler.disconnect("entry#0")
        assert len(entry.scheduler.queue) == 0
        assert entry.scheduler.ledger.phase(second) is None
        assert entry.scheduler.ledger.phase(first) is Phase.GRANTED


class TestRefusals:
    """Offers that are refused."""

    async def test_floor(self, start):
        """After a refusal by a full queue, lower tiers are refused for a time."""
        entry = start(queue_limit=1)
        entry.offer(tier=1)
        waiting = entry.offer(tier=1)
        refused = entry.offer(tier=1)
        assert entry.refusals()[refused].floor_ms > 0
        entry.scheduler.withdraw(waiting)
        lower, equal = entry.offer(tier=2), entry.offer(tier=1)
        assert set(entry.refusals()) == {refused, lower}
        entry.scheduler.floor.blocked_until = [0.0] * 16
        entry.scheduler.withdraw(equal)
        later = entry.offer(tier=2)
        assert later not in entry.refusals()

    async def test_displaced(self, start):
        """An offer of a higher tier displaces the newest of the lowest tier."""
        entry = start(queue_limit=2)
        entry.offer()
        old, new, high = (entry.offer(tier=tier) for tier in (3, 3, 0))
        assert set(entry.refusals()) == {new}
        assert entry.refusals()[new].reason == pb.REFUSAL_REASON_DISPLACED
        waiting = {item.offer.request_id for item in entry.scheduler.queue.all()}
        assert waiting == {old, high}

    async def test_will_miss_deadline(self, start):
        """An offer that can't meet its deadline is refused on arrival."""
        entry = start()
        entry.scheduler.capacity.estimates.of_decode("garden-7b").learn([0.1], 1)
        entry.scheduler.capacity.estimates.touch()
        refused = entry.offer(max_tokens=100, deadline_ms=5000)
        taken = entry.offer(max_tokens=100, deadline_ms=50_000)
        assert set(entry.refusals()) == {refused}
        assert entry.refusals()[refused].reason == pb.REFUSAL_REASON_DEADLINE
        assert set(entry.grants()) == {taken}

    async def test_late_in_queue(self, start):
        """An offer whose deadline has passed is refused."""
        entry = start()
        entry.offer()
        late = entry.offer(deadline_ms=0)
        assert entry.refusals()[late].reason == pb.REFUSAL_REASON_DEADLINE

    async def test_upstream_down(self, start):
        """Waiting offers are refused when the upstream goes down."""
        entry = start()
        _, waiting = entry.offer(), entry.offer()
        entry.scheduler.set_upstream(False)
        assert set(entry.refusals()) == {waiting}
