"""Queue of messages to one peer, which are sent in batches."""

import asyncio
from typing import Generic, NoReturn, TypeVar

from skylarkdoor.exceptions import OutboxFullError

M = TypeVar("M")

DEFAULT_MAX_MESSAGES = 8192


class Outbox(Generic[M]):
    """Collects messages so that all pending ones are sent in one batch.

    Args:
        limit: Maximum number of pending messages. A message above the limit is
            dropped and `wait_for_overflow` raises; the stream is then incomplete and
            must be closed.
    """

    def __init__(self, *, limit: int = DEFAULT_MAX_MESSAGES) -> None:
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
        """Make `take_pending` return at once, even without messages."""
        self.ready.set()

    async def take_pending(self, *, timeout_s: float) -> list[M]:
        """Wait for messages and remove and return all pending ones.

        Args:
            timeout_s: Time after which an empty list is returned, in seconds.

        Returns:
            The pending messages; an empty list after the timeout or `wake`.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.ready.wait()
        except TimeoutError:
            return []
        messages, self.messages = self.messages, []
        self.ready.clear()
        return messages

    async def wait_for_overflow(self) -> NoReturn:
        """Wait until a message is dropped because the limit is reached.

        Raises:
            OutboxFullError: A message was dropped.
        """
        await self.overflowed.wait()
        raise OutboxFullError(f"outbox is full: {self.limit} messages are pending")
