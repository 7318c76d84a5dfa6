"""Keeps a suspect alone in the upstream."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager


class Gate:
    """Lets calls in together, or one alone; a call that waits to be alone is next."""

    def __init__(self) -> None:
        self.inside = 0
        self.is_alone = False
        self.waiting_alone = 0
        self.changed = asyncio.Event()

    @asynccontextmanager
    async def together(self) -> AsyncIterator[None]:
        """Hold the gate with others."""
        await self._until(lambda: not self.is_alone and not self.waiting_alone)
        self.inside += 1
        try:
            yield
        finally:
            self.inside -= 1
            self._notify()

    @asynccontextmanager
    async def alone(self) -> AsyncIterator[None]:
        """Hold the gate with nobody else."""
        self.waiting_alone += 1
        try:
            await self._until(lambda: not self.is_alone and not self.inside)
            self.is_alone = True
        finally:
            self.waiting_alone -= 1
            self._notify()
        try:
            yield
        finally:
            self.is_alone = False
            self._notify()

    async def _until(self, holds: Callable[[], bool]) -> None:
        while not holds():
            await self.changed.wait()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
