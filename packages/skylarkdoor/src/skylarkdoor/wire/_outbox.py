"""Messages that wait to be sent to one peer in one batch."""

import asyncio
from typing import Generic, NoReturn, TypeVar

from skylarkdoor.exceptions import OutboxFullError

M = TypeVar("M")

DEFAULT_LIMIT = 8192


class Outbox(Generic[M]):
    """Collects messages so that what is ready goes out together.

    Args:
        limit: Most messages that wait. One more is dropped and ends `overflow`;
            the stream is then of no more use.
    """

    def __init__(self, *, limit: int = DEFAULT_LIMIT) -> None:
        self.limit = limit
        self.messages: list[M] = []
        self.ready = asyncio.Event()
        self.overflowed = asyncio.Event()

    def put(self, message: M) -> None:
        """Add a message; returns at once."""
        if len(self.messages) >= self.limit:
            self.overflowed.set()
            return
        self.messages.append(message)
        self.ready.set()

    def wake(self) -> None:
        """Let `take` return now, even with nothing."""
        self.ready.set()

    async def take(self, *, timeout_s: float) -> list[M]:
        """Return everything that waits, or nothing after the timeout or `wake`."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.ready.wait()
        except TimeoutError:
            return []
        messages, self.messages = self.messages, []
        self.ready.clear()
        return messages

    async def overflow(self) -> NoReturn:
        """Wait until a message had to be dropped.

        Raises:
            OutboxFullError: One was.
        """
        await self.overflowed.wait()
        raise OutboxFullError(f"{self.limit} messages wait already")
