"""Order of waiting requests in which short answers go first, within a bound.

Answers the load in which a tier asks for more slots than it gets, and its answers vary
in length by more than a factor of 100: more callers are served if short answers go
first, but then hardly any long one is. Long ones therefore get turns of their own. How
many depends on what waits at this queue alone, so that the bound holds from the first
grant on and however few requests each entry sees.
"""

import heapq
from collections.abc import Iterator
from typing import Generic

from skylarkdoord._moving_mean import MovingMean
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct.shares._queue_order import ArrivalOrder, ItemT

# While both kinds wait, long requests are granted slots this many times as often as
# short ones, each in relation to the number that wait.
GRANT_RATIO = 0.65
# A long request has its turn once the long ones are owed this many slots.
TURN_SLOTS = 0.5
# Slots that long requests are owed, or are ahead by, at most. What they did not ask for
# is not made up for.
MAX_OWED_SLOTS = 1.0


class LengthTurns:
    """Decides whether a long or a short request of one precedence goes next.

    Attributes:
        long_share: Share of long requests among those that began to wait, from 0 to 1.
        owed_slots: Slots that long requests are owed; negative if they are ahead.
    """

    def __init__(self) -> None:
        self.long_share = MovingMean()
        self.owed_slots = 0.0

    @property
    def is_long_next(self) -> bool:
        """Whether a long request goes before a short one."""
        return self.owed_slots >= TURN_SLOTS

    def on_request(self, *, is_long: bool) -> None:
        """Include a request in the share of long ones."""
        self.long_share.add(is_long)

    def on_grant(self, *, is_long: bool) -> None:
        """Record that a request was granted a slot."""
        long = GRANT_RATIO * self.long_share.value
        short = 1.0 - self.long_share.value
        due = long / (long + short)
        owed = self.owed_slots + due - is_long
        self.owed_slots = max(-MAX_OWED_SLOTS, min(MAX_OWED_SLOTS, owed))


class LengthOrder(Generic[ItemT]):
    """Orders requests by precedence, then by turns of short and long answers.

    Requests of the same length are in order of arrival.

    Attributes:
        short: Waiting requests with short answers.
        long: Waiting requests with long answers.
        turns: Whose turn it is, by precedence.
    """

    def __init__(self) -> None:
        self.short: ArrivalOrder[ItemT] = ArrivalOrder()
        self.long: ArrivalOrder[ItemT] = ArrivalOrder()
        self.turns: dict[Precedence, LengthTurns] = {}

    def add(self, item: ItemT) -> None:
        """Add a request."""
        self.turns_of(item).on_request(is_long=item.demand.is_long)
        self.of_length(item).add(item)

    def remove(self, item: ItemT) -> None:
        """Remove a request that stops waiting without a slot."""
        self.of_length(item).remove(item)

    def in_order(self) -> Iterator[ItemT]:
        """Return the requests, the one that gets the next slot first."""
        return heapq.merge(
            self.short.in_order(), self.long.in_order(), key=self.sort_key
        )

    def take(self, item: ItemT) -> None:
        """Remove a request that is granted a slot."""
        self.of_length(item).take(item)
        self.turns_of(item).on_grant(is_long=item.demand.is_long)

    def end(self, number: int) -> None:
        """Do nothing; the order does not depend on the use of slots."""

    def of_length(self, item: ItemT) -> ArrivalOrder[ItemT]:
        """Return the waiting requests of an item's length."""
        return self.long if item.demand.is_long else self.short

    def turns_of(self, item: ItemT) -> LengthTurns:
        """Return the turns of an item's precedence."""
        turns = self.turns.get(item.precedence)
        if turns is None:
            turns = self.turns[item.precedence] = LengthTurns()
        return turns

    def sort_key(self, item: ItemT) -> tuple[Precedence, bool]:
        """Return what decides between the first short and the first long request."""
        is_long_next = self.turns_of(item).is_long_next
        return item.precedence, item.demand.is_long != is_long_next
