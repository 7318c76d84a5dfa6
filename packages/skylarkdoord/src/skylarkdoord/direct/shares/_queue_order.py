"""Order in which waiting requests get slots."""

from collections.abc import Iterator
from typing import Generic, NamedTuple, Protocol, TypeVar

from sortedcontainers import SortedKeyList

from skylarkdoord.direct._model import Precedence


class Demand(NamedTuple):
    """Whose request it is, and what it takes of an engine.

    Attributes:
        customer: Name of the customer; empty if not stated.
        weight: Weight of the customer; 0 if not stated.
        prompt_tokens: Number of tokens in the prompt; 0 if not stated.
        max_tokens: Maximum number of tokens in the answer; 0 if not stated.
        is_long: Whether its answer is long for its tier.
        expected_tokens: Number of tokens that the answer is likely to have; 0 if not
            stated.
    """

    customer: str = ""
    weight: float = 0.0
    prompt_tokens: int = 0
    max_tokens: int = 0
    is_long: bool = False
    expected_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Most tokens that the request takes of the engine's memory."""
        return self.prompt_tokens + self.max_tokens


NO_DEMAND = Demand()


class Queued(Protocol):
    """A request in a queue.

    Attributes:
        precedence: Its precedence, which comes first.
        number: Sequence number of its arrival.
        demand: Whose request it is, and what it takes of an engine.
    """

    precedence: Precedence
    number: int
    demand: Demand


ItemT = TypeVar("ItemT", bound=Queued)


class QueueOrder(Protocol[ItemT]):
    """Order of the requests that wait for slots."""

    def add(self, item: ItemT) -> None:
        """Add a request."""

    def remove(self, item: ItemT) -> None:
        """Remove a request that stops waiting without a slot."""

    def in_order(self) -> Iterator[ItemT]:
        """Return the requests, the one that gets the next slot first.

        The order must not be changed while the iterator is in use.
        """

    def take(self, item: ItemT) -> None:
        """Remove a request that is granted a slot."""

    def end(self, number: int) -> None:
        """Note that the request of this number has returned its slot."""


class ArrivalOrder(Generic[ItemT]):
    """Orders requests by precedence, then by arrival."""

    def __init__(self) -> None:
        self.items: SortedKeyList = SortedKeyList(
            key=lambda item: (item.precedence, item.number)
        )

    def add(self, item: ItemT) -> None:
        """Add a request."""
        self.items.add(item)

    def remove(self, item: ItemT) -> None:
        """Remove a request that stops waiting without a slot."""
        self.items.remove(item)

    def in_order(self) -> Iterator[ItemT]:
        """Return the requests, the one that gets the next slot first."""
        return iter(self.items)

    def take(self, item: ItemT) -> None:
        """Remove a request that is granted a slot."""
        self.items.remove(item)

    def end(self, number: int) -> None:
        """Do nothing; the order does not depend on the use of slots."""
