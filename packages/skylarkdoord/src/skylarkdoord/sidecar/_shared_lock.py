"""Shared and exclusive access to the upstream; a suspect runs exclusively."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager


class SharedExclusiveLock:
    """A lock with shared and exclusive modes; exclusive waiters go first."""

    def __init__(self) -> None:
        self.shared_holders = 0
        self.is_exclusive = False
        self.waiting_exclusive = 0
        self.changed = asyncio.Event()

    @asynccontextmanager
    async def shared(self) -> AsyncIterator[None]:
        """Hold the lock in shared mode."""
        await self._until(lambda: not self.is_exclusive and not self.waiting_exclusive)
        self.shared_holders += 1
        try:
            yield
        finally:
            self.shared_holders -= 1
            self._notify()

    @asynccontextmanager
    async def exclusive(self) -> AsyncIterator[None]:
        """Hold the lock in exclusive mode."""
        self.waiting_exclusive += 1
        try:
            await self._until(lambda: not self.is_exclusive and not self.shared_holders)
            self.is_exclusive = True
        finally:
            self.waiting_exclusive -= 1
            self._notify()
        try:
            yield
        finally:
            self.is_exclusive = False
            self._notify()

    async def _until(self, holds: Callable[[], bool]) -> None:
        while not holds():
            await self.changed.wait()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
