"""Tests of the bound on bodies that are being received."""

from contextlib import ExitStack

import pytest

from skylarkdoord.entry._admission import WaitingQueue
from skylarkdoord.entry._reception import Receptions
from skylarkdoord.exceptions import RefusedError
from skylarkdoord.ingress._incomplete import STALLED_S

MAX_BYTES = 100


class Bodies:
    """Bodies that are being received at a time that tests set.

    Attributes:
        now: The time, in seconds.
        shed: Numbers of the requests that were refused.
    """

    def __init__(self, stack):
        self.stack = stack
        self.now = 0.0
        self.shed = []
        self.waiting = WaitingQueue(max_count=10, max_bytes=MAX_BYTES)
        self.receptions = Receptions(self.waiting, clock=lambda: self.now)

    def begin(self, number, tier, size):
        """Begin to receive a body."""
        shed = self.receptions.receive(tier, lambda: self.shed.append(number))
        reception = self.stack.enter_context(shed)
        reception.grow_to(size)
        return reception


@pytest.fixture
def bodies():
    """Return no bodies yet; they end with the test."""
    with ExitStack() as stack:
        yield Bodies(stack)


class TestReceptions:
    """Bodies that together are larger than the limit."""

    # Guards against an entry whose memory is used up by bodies that never end.
    def test_no_room(self, bodies):
        """A further body is refused while the others make progress."""
        bodies.begin(1, tier=1, size=60)
        with pytest.raises(RefusedError):
            bodies.begin(2, tier=1, size=60)
        assert (bodies.shed, bodies.waiting.receiving) == ([], 60)

    # Guards against callers that are refused for bodies that stopped short.
    def test_stalled(self, bodies):
        """The body that has been stalled longest makes room."""
        bodies.begin(1, tier=1, size=50)
        bodies.now = 0.5
        bodies.begin(2, tier=1, size=50)
        bodies.now = 0.5 + STALLED_S
        bodies.begin(3, tier=1, size=40)
        assert (bodies.shed, bodies.waiting.receiving) == ([1], 90)

    def test_tier(self, bodies):
        """A stalled body makes no room for requests of a lower tier."""
        bodies.begin(1, tier=0, size=90)
        bodies.now = 2 * STALLED_S
        with pytest.raises(RefusedError):
            bodies.begin(2, tier=1, size=20)
        assert bodies.shed == []

    def test_end(self, bodies):
        """Nothing is reserved for bodies that ended or were shed."""
        bodies.begin(1, tier=0, size=90)
        bodies.now = STALLED_S
        bodies.begin(2, tier=0, size=90)
        bodies.stack.close()
        assert bodies.waiting.receiving == 0
