"""Tests of the bound on the bytes that an entry holds."""

import contextlib

import pytest

from skylarkdoord.direct._held_bytes import (
    MAX_UNSENT_BYTES,
    MIN_UNREADY_S,
    SMALL_BODY_BYTES,
    BodyHold,
    HeldBytes,
    UnsentAnswer,
    choose_unread,
)
from skylarkdoord.direct._settings import MIN_HELD_BYTES, MemorySettings
from skylarkdoord.direct.exceptions import MemoryFullError

from ._make import Clock

MIB = 1024 * 1024
SMALLEST = MemorySettings(process_mb=136)
STEP_S = 0.25


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


@pytest.fixture
def held(clock):
    """Return the held bytes of the smallest entry."""
    return HeldBytes(SMALLEST.bound(), clock=clock)


def reserve(held, size):
    """Return a hold of a size."""
    hold = BodyHold(held)
    hold.grow_to(size)
    return hold


class TestBound:
    """`MemorySettings.bound`."""

    def test_absent(self):
        """Without a setting nothing is bounded."""
        assert MemorySettings().bound() is None
        held = HeldBytes(None)
        reserve(held, 1000 * MIB)
        assert held.is_ready()
        assert held.max_unsent_bytes() == MAX_UNSENT_BYTES

    def test_smallest(self):
        """The smallest entry holds half of what is left beside its use at rest."""
        assert SMALLEST.bound() == 43 * MIB
        assert SMALLEST._replace(process_mb=40).bound() == MIN_HELD_BYTES
        assert SMALLEST._replace(max_held_bytes=9).bound() == 9

    def test_only_with(self):
        """The bound applies only where the deployment states its name."""
        settings = SMALLEST._replace(only_with="tight", among=("shares", "entry"))
        assert settings.bound() is None
        assert settings._replace(among=("shares", "tight")).bound() == 43 * MIB


class TestHeads:
    """Many requests with large heads that wait to be answered."""

    # Guards against heads of legal size that take the memory while requests wait.
    def test_load(self, held):
        """Requests are refused at the bound; heads of usual size don't count."""
        holds = [BodyHold(held) for _ in range(1000)]
        admitted = 0
        for hold in holds:
            with contextlib.suppress(MemoryFullError):
                hold.add_head(60_000)
                admitted += 1
        assert 200 < admitted < 300
        BodyHold(held).add_head(1000)
        for hold in holds:
            hold.__exit__()
        assert held.used == 0


class TestUnreadAnswers:
    """Many callers that read nothing of their answers, while too much is held."""

    def unread(self, *read_at):
        """Return answers of 64 KiB that callers last read at some times."""
        answers = {}
        for number, since in enumerate(read_at):
            answers[number] = UnsentAnswer(since)
            answers[number].update(65536, 65536, since)
            answers[number].read_at = since
        return answers

    # Guards against memory that runs out before the first route's timeout.
    def test_load(self):
        """Those that wait longest are chosen, no more of them than needed."""
        assert choose_unread(self.unread(5.0, 1.0, 3.0), 70_000, 10.0) == [1, 2]
        assert choose_unread(self.unread(5.0, 1.0, 3.0), 0, 10.0) == []

    def test_kept(self):
        """Callers that read within 2 s are kept, and so is the last one."""
        assert choose_unread(self.unread(9.0, 8.5), 70_000, 10.0) == []
        assert choose_unread(self.unread(1.0), 70_000, 10.0) == []


class TestStalledSenders:
    """Many callers that stop short of the end of their bodies."""

    def begin(self, held, size):
        """Return a hold of a body that begins, and the list of those given up."""
        hold = reserve(held, size)
        given_up = []
        hold.begin(lambda: given_up.append(hold))
        return hold, given_up

    # Guards against ordinary callers that are refused for bodies which never end.
    def test_load(self, held, clock):
        """After a second without progress, they make room for others, oldest first."""
        stalled = []
        for _ in range(688):
            stalled.append(self.begin(held, SMALL_BODY_BYTES))
            clock.now += 0.001
        with pytest.raises(MemoryFullError):
            reserve(held, SMALL_BODY_BYTES)
        clock.now += 1.0
        for number in range(10):
            reserve(held, SMALL_BODY_BYTES)
            assert stalled[number][1]
            assert stalled[number][0].size == 0
        assert not any(given_up for _, given_up in stalled[10:])
        assert held.used == 688 * SMALL_BODY_BYTES

    def test_large(self, held, clock):
        """Of the large ones, no more are given up than a large one needs."""
        stalled = [self.begin(held, 4 * MIB) for _ in range(5)]
        small, given_up = self.begin(held, SMALL_BODY_BYTES)
        clock.now += 1.0
        reserve(held, 5 * MIB)
        assert [bool(ended) for _, ended in stalled] == [True] + [False] * 4
        assert small.size
        assert not given_up

    # Guards against a byte now and then that keeps a body's bytes for ever.
    def test_progress(self, held, clock):
        """A body that gets further is kept, one of some bytes a second is not."""
        slow, slow_given_up = self.begin(held, 20 * MIB)
        for _ in range(5):
            clock.now += 0.5
            held.incomplete.on_received(slow, 64 * 1024)
        with pytest.raises(MemoryFullError):
            reserve(held, 2 * MIB)
        assert not slow_given_up
        for _ in range(5):
            clock.now += 0.5
            held.incomplete.on_received(slow, 1)
        reserve(held, 2 * MIB)
        assert slow_given_up

    def test_useless(self, held, clock):
        """Nothing is given up if there is no room all the same."""
        _, given_up = self.begin(held, MIB)
        reserve(held, 20 * MIB)
        clock.now += 2.0
        with pytest.raises(MemoryFullError):
            reserve(held, 21 * MIB)
        assert not given_up

    def test_complete(self, held, clock):
        """A complete body is kept, however long its answer takes."""
        hold, given_up = self.begin(held, 20 * MIB)
        hold.complete()
        clock.now += 60.0
        with pytest.raises(MemoryFullError):
            reserve(held, 2 * MIB)
        assert not given_up


class TestSlowSenders:
    """Many callers that send large bodies slowly."""

    # Guards against memory that runs out, and against small requests that are shut out.
    def test_load(self, held):
        """The bound holds, and small requests are admitted beside large ones."""
        large = []
        for _ in range(200):
            with contextlib.suppress(MemoryFullError):
                large.append(reserve(held, MIB))
        assert len(large) == 21
        assert held.is_ready()
        small = [reserve(held, SMALL_BODY_BYTES) for _ in range(200)]
        assert held.used <= held.max_bytes
        for hold in large + small:
            hold.count(0)
        assert (held.used, held.large_bodies) == (0, 0)

    # Guards against bodies of unstated length that grow past the bound.
    def test_unknown_length(self, held):
        """Bodies that grow while they arrive are refused at the bound."""
        holds = [BodyHold(held) for _ in range(100)]
        refused = 0
        for size in range(SMALL_BODY_BYTES, MIB + 1, SMALL_BODY_BYTES):
            for hold in holds:
                try:
                    hold.grow_to(size)
                except MemoryFullError as error:
                    assert error.retry_after_s
                    refused += 1
                    hold.count(0)
                assert held.used <= held.max_bytes
        assert refused

    def test_released(self, held):
        """A request that ends, in whatever way, releases its bytes."""
        with contextlib.suppress(ValueError), BodyHold(held) as hold:
            hold.grow_to(5 * MIB)
            hold.grow_to(MIB)
            assert held.used == 5 * MIB
            raise ValueError
        assert held.used == 0


class TestSlowReaders:
    """Many callers that read their answers slowly, or not at all."""

    # Guards against memory that runs out while upstreams go on sending.
    @pytest.mark.parametrize("streams_per_s", [20, 100, 400])
    def test_load(self, held, clock, streams_per_s):
        """What callers leave unread stays near the bound; new ones are refused."""
        unread, most = [], 0
        per_step = int(streams_per_s * STEP_S)
        for _ in range(240):
            clock.now += STEP_S
            limit = held.max_unsent_bytes()
            unread = [size if size >= limit else size + 4096 for size in unread[-8000:]]
            held.unsent = sum(unread)
            most = max(most, held.unsent)
            with contextlib.suppress(MemoryFullError):
                for _ in range(per_step):
                    reserve(held, 2048).count(0)
                    unread.append(0)
        assert most <= 1.1 * held.max_bytes
        if streams_per_s == 400:
            assert not held.is_ready()

    def test_limits(self, held):
        """The more is held, the less a single caller may leave unread."""
        assert held.max_unsent_bytes() == MAX_UNSENT_BYTES
        held.unsent = int(0.6 * held.max_bytes)
        assert held.max_unsent_bytes() == 64 * 1024
        held.unsent = int(0.85 * held.max_bytes)
        assert held.max_unsent_bytes() == 16 * 1024

    def test_receiving(self, held):
        """Answers that are being received count too."""
        held.receiving = lambda: held.max_bytes
        with pytest.raises(MemoryFullError):
            reserve(held, 1)

    # Guards against memory for whole answers that arrive together, and against an
    # answer that never has room.
    def test_whole_answers(self, held):
        """A whole answer waits for room, but one is received in any case."""
        held.bodies = held.max_bytes
        assert held.has_answer_room(8 * MIB)
        held.bodies, held.writing = 0, 40 * MIB
        assert held.has_answer_room(3 * MIB)
        assert not held.has_answer_room(4 * MIB)

    # Guards against a connection that is kept for a caller which never reads.
    def test_stalled(self):
        """A caller is stalled once it has read nothing for the timeout."""
        unsent = UnsentAnswer(0.0)
        unsent.update(5000, 5000, 1.0)
        unsent.update(9000, 9000, 6.0)
        assert unsent.is_stalled(5.0, 6.1)
        assert not unsent.is_stalled(7.0, 6.1)

    def test_slow(self):
        """A caller that reads a little is not stalled, though ever more is unread."""
        unsent = UnsentAnswer(0.0)
        for second in range(1, 30):
            unsent.update(9000 * second, 8000 * second, float(second))
            assert not unsent.is_stalled(5.0, float(second))

    def test_idle(self):
        """A caller that has read all is not stalled."""
        unsent = UnsentAnswer(0.0)
        unsent.update(5000, 0, 1.0)
        assert not unsent.is_stalled(5.0, 60.0)


class TestReadiness:
    """`HeldBytes.is_ready`."""

    # Guards against readiness that is withdrawn too briefly for a check to see it.
    def test_withdrawn(self, held, clock):
        """It is withdrawn for a second at least, and until little is held."""
        held.unsent = int(0.89 * held.max_bytes)
        assert held.is_ready()
        held.unsent = int(0.91 * held.max_bytes)
        assert not held.is_ready()
        held.unsent = 0
        assert not held.is_ready()
        clock.now += MIN_UNREADY_S
        held.unsent = int(0.71 * held.max_bytes)
        assert not held.is_ready()
        held.unsent = int(0.69 * held.max_bytes)
        assert held.is_ready()
