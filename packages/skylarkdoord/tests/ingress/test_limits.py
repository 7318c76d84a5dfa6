"""Tests of the limits on connections of callers."""

import pytest

from skylarkdoord.ingress import ConnectionState, IngressLimits, Phase, Reason
from skylarkdoord.ingress._deadlines import RunningClock, find_overdue
from skylarkdoord.ingress._received import Parsed, Received

LIMITS = IngressLimits(head_bytes=10_000, head_timeout_s=2.0, idle_timeout_s=5.0)
NO_BODY = Parsed(has_new_head=False, is_body_open=False, body_bytes=0)
HEAD_OF_BODY = Parsed(has_new_head=True, is_body_open=True, body_bytes=0)


def open_body(body_bytes):
    """Return what is parsed in the middle of a body."""
    return Parsed(has_new_head=False, is_body_open=True, body_bytes=body_bytes)


@pytest.fixture
def received():
    """Return what a new connection has received."""
    return Received(0.0)


def overdue(received, now, phase=Phase.IDLE):
    """Return why a connection opened at 0 s is overdue."""
    state = ConnectionState.opened(0.0)
    state.phase = phase
    return find_overdue(state, received, LIMITS, now)


class TestHeads:
    """Heads that don't end."""

    # Guards against a head without end that takes memory for ever.
    @pytest.mark.parametrize("data", [b"x" * 1000, b"\r\n" * 500])
    def test_bytes(self, received, data):
        """A head is too large above the limit; empty lines before it count too."""
        for _ in range(10):
            received.update(data, NO_BODY, 1.0)
        assert not received.is_head_too_large(LIMITS)
        for _ in range(10):
            received.update(data, NO_BODY, 1.0)
        assert received.is_head_too_large(LIMITS)

    # Guards against many small fields, of which each takes more than its bytes.
    def test_fields(self, received):
        """An incomplete head counts with the objects of its fields."""
        received.update(b"X: y\r\n" * 100, NO_BODY, 1.0)
        assert received.unfinished_bytes > 50_000

    def test_many(self, received):
        """Heads that follow each other are not counted together."""
        new_head = Parsed(has_new_head=True, is_body_open=False, body_bytes=0)
        for _ in range(100):
            received.update(b"x" * 9000, new_head, 1.0)
        assert not received.is_head_too_large(LIMITS)

    # Guards against a head of which a byte a second keeps the connection open.
    def test_slow(self, received):
        """A head is late some time after its first byte, whatever arrives since."""
        for now in (1.0, 2.0, 2.9):
            received.update(b"x", NO_BODY, now)
        assert overdue(received, 2.9, Phase.HEAD) is None
        assert overdue(received, 3.1, Phase.HEAD) is Reason.HEAD_TIMEOUT

    # Guards against empty lines that keep a connection open for ever.
    def test_line_ends(self, received):
        """Empty lines begin no head and are no progress."""
        for now in range(6):
            received.update(b"\r\n", NO_BODY, float(now))
        assert overdue(received, 4.9, Phase.HEAD) is None
        assert overdue(received, 5.1, Phase.HEAD) is Reason.IDLE


class TestBodies:
    """Bodies that get no further."""

    # Guards against trailers and lines between chunks without end.
    def test_framing(self, received):
        """What is sent after a part of a body is bounded like a head."""
        received.update(b"x" * 500, HEAD_OF_BODY, 0.0)
        received.update(b"x" * 1000, open_body(900), 0.0)
        for _ in range(10):
            received.update(b"x" * 1000, open_body(900), 0.0)
        assert not received.is_framing_too_large(LIMITS)
        received.update(b"x" * 1000, open_body(900), 0.0)
        assert received.is_framing_too_large(LIMITS)

    # Guards against long lines between many small chunks.
    def test_all_framing(self, received):
        """All of it together is bounded by a ratio to the body."""
        received.update(b"x" * 500, HEAD_OF_BODY, 0.0)
        for size in range(1, 40):
            received.update(b"x" * 300, open_body(size), 0.0)
        assert received.is_framing_too_large(LIMITS)

    def test_single_bytes(self, received):
        """A body in chunks of one byte is legal, whatever its size."""
        received.update(b"x" * 500, HEAD_OF_BODY, 0.0)
        for size in range(1000, 1_000_000, 1000):
            received.update(b"1\r\nx\r\n" * 1000, open_body(size), 0.0)
            assert not received.is_framing_too_large(LIMITS)

    def test_stalled(self, received):
        """A body is overdue some time after its latest part."""
        received.update(b"x" * 500, HEAD_OF_BODY, 1.0)
        received.update(b"x", open_body(1), 4.0)
        assert overdue(received, 8.9, Phase.BODY) is None
        assert overdue(received, 9.1, Phase.BODY) is Reason.BODY_STALLED


class TestIdle:
    """Connections without a request."""

    # Guards against connections that send nothing and are never closed.
    def test_nothing(self, received):
        """One that sends nothing is overdue after the idle timeout."""
        assert overdue(received, 4.9) is None
        assert overdue(received, 5.1) is Reason.IDLE

    def test_answering(self, received):
        """One whose request is being answered is not."""
        assert overdue(received, 60.0, Phase.ANSWER) is None


class TestRunningClock:
    """Time in which the process stood still."""

    # Guards against callers that are cut off because the entry was suspended.
    def test_suspended(self):
        """It does not count, except for two intervals."""
        now = [10.0]
        clock = RunningClock(lambda: now[0])
        now[0] += 0.25
        clock.tick()
        assert clock() == 10.25
        now[0] += 7.0
        clock.tick()
        assert clock() == 10.75
