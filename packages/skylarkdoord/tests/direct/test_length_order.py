"""The order of waiting requests in which short and long answers take turns."""

from typing import NamedTuple

import pytest

from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct.shares._length_order import (
    GRANT_RATIO,
    LengthOrder,
    LengthTurns,
)
from skylarkdoord.direct.shares._queue_order import Demand


class Item(NamedTuple):
    """A waiting request."""

    number: int
    demand: Demand
    precedence: Precedence = Precedence(0)


@pytest.fixture
def order():
    """Return an order without requests."""
    return LengthOrder()


def add(order, lengths, tier=0, start=0):
    """Add a request for each letter, `s` for a short and `l` for a long answer."""
    for number, letter in enumerate(lengths, start):
        order.add(Item(number, Demand(is_long=letter == "l"), Precedence(tier)))


def take(order, count):
    """Grant slots; return the lengths of the requests, and their numbers."""
    items = []
    for _ in range(count):
        item = next(order.in_order())
        order.take(item)
        items.append(item)
    letters = "".join("l" if item.demand.is_long else "s" for item in items)
    return letters, [item.number for item in items]


class TestLengthOrder:
    """`LengthOrder`."""

    def test_short_first(self, order):
        """A short answer goes before a long one that has waited longer."""
        add(order, "ls")
        assert take(order, 2) == ("sl", [1, 0])

    def test_age(self, order):
        """Requests of the same length go by age."""
        add(order, "llss")
        numbers = take(order, 4)[1]
        assert [n for n in numbers if n < 2] == [0, 1]
        assert [n for n in numbers if n >= 2] == [2, 3]

    def test_precedence_first(self, order):
        """A long answer goes before those of a less important tier."""
        add(order, "l", tier=1)
        add(order, "s", tier=2, start=1)
        assert take(order, 2)[0] == "ls"

    def test_removed(self, order):
        """A request that stops waiting gets no turn."""
        add(order, "ss")
        order.remove(Item(0, Demand()))
        assert take(order, 1) == ("s", [1])
        assert list(order.in_order()) == []

    @pytest.mark.parametrize("lengths", ["sl", "sssl", "sssssssl", "slll"])
    def test_ratio(self, order, lengths):
        """While both wait, long answers have their part of few grants."""
        asked = lengths * 40
        add(order, asked)
        granted = take(order, len(asked) // 4)[0]
        ratio = granted.count("l") / asked.count("l")
        ratio /= granted.count("s") / asked.count("s")
        assert ratio == pytest.approx(GRANT_RATIO, abs=0.1)

    def test_first_grants(self, order):
        """Long answers have a turn among the first few grants."""
        add(order, "sl" * 10)
        assert "l" in take(order, 3)[0]


class TestLengthTurns:
    """`LengthTurns`."""

    def test_nothing_made_up_for(self):
        """After a time without long requests, only one has its turn at once."""
        turns = LengthTurns()
        for number in range(100):
            turns.on_request(is_long=number % 2 == 0)
        for _ in range(100):
            turns.on_grant(is_long=False)
        assert turns.is_long_next
        turns.on_grant(is_long=True)
        assert not turns.is_long_next

    def test_short_after_long(self):
        """After a time without short requests, long ones soon have turns again."""
        turns = LengthTurns()
        for number in range(100):
            turns.on_request(is_long=number % 2 == 0)
        for _ in range(100):
            turns.on_grant(is_long=True)
        grants = 0
        while not turns.is_long_next:
            turns.on_grant(is_long=False)
            grants += 1
        assert grants <= 5
