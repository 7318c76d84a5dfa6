"""Start-time fair queueing between customers, without regard to what they wait for."""

from collections.abc import Callable, Hashable
from typing import Any

from sortedcontainers import SortedKeyList


class Lane:
    """What one customer waits for, and the customer's virtual time.

    Args:
        name: Name of the customer; None for customers beyond the limit.
        virtual_s: Initial virtual time: work served divided by the customer's
            weight, in seconds.
        key: Sorts what the customer waits for.

    Attributes:
        waiting: What the customer waits for, in the order in which it is served.
        weight: Weight of the customer, relative to those of others.
        turn: Decides between lanes of the same virtual time; the lowest goes first.
        held: Number of grants whose work is not known yet.
        kept_in: The list of lanes that contains this one.
    """

    def __init__(
        self, name: Hashable, virtual_s: float, key: Callable[[Any], Any]
    ) -> None:
        self.name = name
        self.virtual_s = virtual_s
        self.waiting: SortedKeyList = SortedKeyList(key=key)
        self.weight = 1.0
        self.turn = 0
        self.held = 0
        self.kept_in: SortedKeyList | None = None


def _turn_key(lane: Lane) -> tuple[float, int]:
    return lane.virtual_s, lane.turn


class FairTurns:
    """Decides whose turn it is.

    The customer with the lowest virtual time, that is served work divided by weight,
    is served next. A customer that begins to wait gains no credit for the time in
    which it did not. Lanes exist only for customers that wait, hold grants or are
    ahead of the lowest virtual time.

    Args:
        key: Sorts what a customer waits for.
        limit: Maximum number of lanes. Beyond it, lanes of customers that neither wait
            nor hold grants are dropped, those least ahead first; if there are none,
            further customers share a lane.

    Attributes:
        lanes: All lanes, by customer.
        waiting: Lanes of customers that wait, the next one first.
        resting: Lanes of customers that neither wait nor hold grants, those least
            ahead first.
        start_s: Virtual time at which the latest grant began, in seconds.
        turns: Number of turns given so far.
    """

    def __init__(self, key: Callable[[Any], Any], *, limit: int) -> None:
        self.key = key
        self.limit = limit
        self.lanes: dict[Hashable, Lane] = {}
        self.waiting: SortedKeyList = SortedKeyList(key=_turn_key)
        self.resting: SortedKeyList = SortedKeyList(key=_turn_key)
        self.start_s = 0.0
        self.turns = 0

    @property
    def floor_s(self) -> float:
        """Lowest virtual time of the customers that wait, in seconds."""
        lowest: float = self.waiting[0].virtual_s if self.waiting else self.start_s
        return lowest

    def add(self, name: Hashable, item: Any) -> Lane:
        """Let a customer wait for an item and return its lane."""
        lane = self._lane(name)
        if not lane.waiting:
            self._detach(lane)
            lane.virtual_s = max(lane.virtual_s, self.floor_s)
            self.turns += 1
            lane.turn = self.turns
            lane.waiting.add(item)
            self._attach(lane)
        else:
            lane.waiting.add(item)
        return lane

    def remove(self, lane: Lane, item: Any) -> None:
        """Remove an item for which a customer waits, without a charge."""
        lane.waiting.remove(item)
        if not lane.waiting:
            self._move(lane)

    def charge(self, lane: Lane, virtual_s: float) -> None:
        """Advance a customer's virtual time by the work of a grant, by its weight."""
        self.start_s = lane.virtual_s
        self._move(lane, virtual_s)
        self._drop_behind()

    def correct(self, lane: Lane, virtual_s: float) -> None:
        """Change a customer's virtual time by the error of an earlier charge."""
        self._move(lane, virtual_s)

    def hold(self, lane: Lane) -> None:
        """Keep a lane until the work of a grant is known."""
        lane.held += 1
        self._move(lane)

    def release(self, lane: Lane) -> None:
        """Undo one call of `hold`."""
        lane.held -= 1
        self._move(lane)

    def _lane(self, name: Hashable) -> Lane:
        lane = self.lanes.get(name)
        if lane is not None:
            return lane
        if len(self.lanes) >= self.limit:
            if self.resting:
                self._drop(self.resting[0])
            else:
                name = None
        if name not in self.lanes:
            self.lanes[name] = Lane(name, self.start_s, self.key)
        return self.lanes[name]

    def _move(self, lane: Lane, virtual_s: float = 0.0) -> None:
        self._detach(lane)
        lane.virtual_s += virtual_s
        self._attach(lane)

    def _detach(self, lane: Lane) -> None:
        if lane.kept_in is not None:
            lane.kept_in.remove(lane)
            lane.kept_in = None

    def _attach(self, lane: Lane) -> None:
        if lane.waiting:
            lane.kept_in = self.waiting
        elif lane.held:
            return
        elif lane.virtual_s > self.floor_s:
            lane.kept_in = self.resting
        else:
            self._drop(lane)
            return
        lane.kept_in.add(lane)

    def _drop(self, lane: Lane) -> None:
        self._detach(lane)
        self.lanes.pop(lane.name, None)

    def _drop_behind(self) -> None:
        while self.resting and self.resting[0].virtual_s <= self.floor_s:
            self._drop(self.resting[0])
