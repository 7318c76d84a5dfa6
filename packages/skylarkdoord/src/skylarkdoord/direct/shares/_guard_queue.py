"""The queue of a guard, which grants an upstream's slots in order of precedence."""

import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct.shares._answer_speed import AnswerSpeed
from skylarkdoord.direct.shares._length_order import LengthOrder
from skylarkdoord.direct.shares._queue_order import NO_DEMAND, Demand, QueueOrder
from skylarkdoord.direct.shares._token_memory import TokenMemory

# Stream of the entry, and the request's name on it.
RequestKey = tuple[str, str]
# Share of an engine's slots by which grants may exceed them while requests wait,
# rounded to whole slots. A surplus request waits inside the engine and starts as soon
# as another ends. Without it, the slot is idle until the next request is granted the
# slot and has connected.
OVERCOMMIT_SHARE = 0.15


class QueueCounts(NamedTuple):
    """Occupancy of the upstream and its queue.

    Attributes:
        running: Number of slots in use.
        slots: Number of slots in total; 0 while none are granted.
        waiting: Number of waiting requests.
        is_memory_full: Whether the next request has to wait for the engine's memory.
    """

    running: int
    slots: int
    waiting: int
    is_memory_full: bool = False

    @property
    def is_full(self) -> bool:
        """Whether no slot is free, or none can be used."""
        return self.is_memory_full or self.running >= self.slots


@dataclass(eq=False)
class QueuedOffer:
    """A request that waits for a slot or holds one.

    Attributes:
        precedence: Its precedence, which comes first.
        number: Sequence number of its arrival.
        key: Its stream and its name on it.
        demand: Whose request it is, and what it takes of the engine.
        reserved: Tokens of the engine's memory that are reserved for it.
    """

    precedence: Precedence
    number: int
    key: RequestKey
    demand: Demand = NO_DEMAND
    reserved: float = 0.0


class SlotQueue:
    """Grants the slots of one upstream to the requests of all entries.

    Args:
        grant: Called with the stream and the name of a request that is granted a slot.
        clock: Returns the monotonic time in seconds.
        order: Order of the waiting requests; by default `LengthOrder`.
        memory: The engine's memory for tokens; None if it is not counted.

    Attributes:
        is_open: Whether slots are granted.
        correction: Number of slots in use minus the number granted.
        granted: Monotonic time of each grant, in seconds, by request.
        holders: Requests that hold slots.
        is_memory_full: Whether the next request has to wait for the engine's memory.
        speed: How fast the engine produces answers.
        oversized: Waiting requests that exceed the engine's memory by themselves. They
            are granted only while the engine is idle and no others wait, as a caller
            could otherwise hold up all others by stating many tokens.
    """

    def __init__(
        self,
        grant: Callable[[str, str], None],
        *,
        clock: Callable[[], float] = time.monotonic,
        order: QueueOrder[QueuedOffer] | None = None,
        memory: TokenMemory | None = None,
    ) -> None:
        self.grant = grant
        self.clock = clock
        self.slots = 0
        self.is_open = True
        self.correction = 0
        self.waiting: dict[RequestKey, QueuedOffer] = {}
        self.order = order or LengthOrder()
        self.memory = memory
        self.is_memory_full = False
        self.speed = AnswerSpeed()
        self.oversized: dict[RequestKey, QueuedOffer] = {}
        self.granted: dict[RequestKey, float] = {}
        self.holders: dict[RequestKey, QueuedOffer] = {}
        self.numbers = itertools.count()

    def counts(self) -> QueueCounts:
        """Return the occupancy of the upstream and its queue."""
        slots = self.slots if self.is_open else 0
        return QueueCounts(self.occupied, slots, len(self.waiting), self.is_memory_full)

    @property
    def occupied(self) -> int:
        """Number of slots in use: those granted, plus the correction.

        At least 0, as grants may end while a negative correction for them still
        applies.
        """
        return max(0, len(self.granted) + self.correction)

    def settled(self, age_s: float) -> int:
        """Return how many slots were granted at least `age_s` seconds ago."""
        latest = self.clock() - age_s
        return sum(since <= latest for since in self.granted.values())

    def set_open(self, is_open: bool) -> None:
        """Start to grant slots, or stop while the engine is down."""
        self.is_open = is_open
        self.grant_free_slots()

    def set_correction(self, correction: int) -> None:
        """Set the number of slots in use minus the number granted."""
        self.correction = correction
        self.grant_free_slots()

    def set_memory(self, size: int) -> None:
        """Set the engine's memory, in tokens; 0 if unknown."""
        if self.memory is not None and size != self.memory.size:
            self.memory.size = size
            for offered in list(self.oversized.values()):
                del self.oversized[offered.key]
                self.enqueue(offered)
            self.grant_free_slots()

    def resize(self, slots: int) -> None:
        """Set the number of slots."""
        self.slots = slots
        self.grant_free_slots()

    def offer(
        self,
        stream: str,
        request: str,
        precedence: Precedence,
        demand: Demand = NO_DEMAND,
    ) -> None:
        """Queue a request for a slot, unless it is queued or granted already."""
        key = (stream, request)
        if key in self.waiting or key in self.granted:
            return
        offered = QueuedOffer(precedence, next(self.numbers), key, demand)
        self.waiting[key] = offered
        if self.memory is not None:
            self.memory.on_offer(demand.tokens)
        self.enqueue(offered)
        self.grant_free_slots()

    def enqueue(self, offered: QueuedOffer) -> None:
        """Let a request wait for its turn, or for an idle engine."""
        if self.memory is not None and self.memory.is_exceeded(offered.demand.tokens):
            self.oversized[offered.key] = offered
        else:
            self.order.add(offered)

    def dequeue(self, offered: QueuedOffer) -> None:
        """Remove a request that stops waiting without a slot."""
        if self.oversized.pop(offered.key, None) is None:
            self.order.remove(offered)

    def withdraw(self, stream: str, request: str, *, is_answered: bool = False) -> None:
        """Remove a waiting request, or free the slot that it holds.

        Args:
            stream: Stream of the entry.
            request: The request's name on it.
            is_answered: Whether a slot is freed because the answer is complete.
        """
        key = (stream, request)
        offered = self.waiting.pop(key, None)
        if offered is not None:
            self.dequeue(offered)
            # It may have kept others waiting for the engine's memory.
            if self.is_memory_full:
                self.grant_free_slots()
        elif key in self.granted:
            held_s = self.clock() - self.granted.pop(key)
            holder = self.holders.pop(key)
            if is_answered:
                self.speed.record(holder.demand.expected_tokens, held_s)
            self.order.end(holder.number)
            if self.memory is not None:
                self.memory.reserved -= holder.reserved
            self.grant_free_slots()

    def drop_waiting(self, stream: str) -> list[str]:
        """Remove a stream's waiting requests and return those that hold slots."""
        for key in [key for key in self.waiting if key[0] == stream]:
            self.dequeue(self.waiting.pop(key))
        if self.is_memory_full:
            self.grant_free_slots()
        return [request for holder, request in self.granted if holder == stream]

    def grant_free_slots(self) -> None:
        """Grant free slots in order, as far as the engine's memory allows.

        A request that does not fit keeps those behind it waiting, as it would never
        get its turn beside a flow of smaller ones.
        """
        self.is_memory_full = False
        limit = self.slots + round(OVERCOMMIT_SHARE * self.slots)
        while self.is_open and self.occupied < limit:
            offered = self.next_offer()
            if offered is None:
                break
            self.is_memory_full = not self.reserve(offered)
            if self.is_memory_full:
                break
            if self.oversized.pop(offered.key, None) is None:
                self.order.take(offered)
            del self.waiting[offered.key]
            self.granted[offered.key] = self.clock()
            self.holders[offered.key] = offered
            self.grant(*offered.key)

    def next_offer(self) -> QueuedOffer | None:
        """Return the request that gets the next slot."""
        offered = next(self.order.in_order(), None)
        if offered is None and not self.occupied:
            return next(iter(self.oversized.values()), None)
        return offered

    def reserve(self, offered: QueuedOffer) -> bool:
        """Reserve the engine's memory for a request and return whether there is room.

        An idle engine takes any request.
        """
        if self.memory is None:
            return True
        tokens = offered.demand.tokens
        ungranted = max(0, self.correction)
        if self.occupied and not self.memory.has_room(tokens, ungranted=ungranted):
            return False
        offered.reserved = self.memory.needed(tokens)
        self.memory.reserved += offered.reserved
        return True
