"""Messages that wait to be sent to one peer in one batch."""

import asyncio
from typing import Generic, TypeVar

M = TypeVar("M")


class Outbox(Generic[M]):
    """Collects messages so that what is ready goes out together."""

    def __init__(self) -> None:
        self.messages: list[M] = []
        self.ready = asyncio.Event()

    def put(self, message: M) -> None:
        """Add a message; returns at once."""
        self.messages.append(message)
        self.ready.set()

    async def take(self, *, timeout_s: float) -> list[M]:
        """Return everything that waits, or nothing after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.ready.wait()
        except TimeoutError:
            return []
        messages, self.messages = self.messages, []
        self.ready.clear()
        return messages
