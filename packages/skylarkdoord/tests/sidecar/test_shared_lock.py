"""Tests of `skylarkdoord.sidecar._shared_lock`."""

import asyncio

from skylarkdoord.sidecar._shared_lock import SharedExclusiveLock


class Holder:
    """A task that holds the lock until `release` is set."""

    def __init__(self, lock: SharedExclusiveLock, *, exclusive: bool = False) -> None:
        self.has_lock = False
        self.release = asyncio.Event()
        context = lock.exclusive() if exclusive else lock.shared()
        self.task = asyncio.create_task(self.hold(context))

    async def hold(self, context) -> None:
        """Hold the lock."""
        async with context:
            self.has_lock = True
            await self.release.wait()
        self.has_lock = False


async def settle() -> None:
    """Run all tasks until they wait."""
    for _ in range(10):
        await asyncio.sleep(0)


class TestSharedExclusiveLock:
    """`SharedExclusiveLock`."""

    async def test_shared(self) -> None:
        """Several tasks hold the lock in shared mode."""
        lock = SharedExclusiveLock()
        holders = [Holder(lock), Holder(lock)]
        await settle()
        assert all(holder.has_lock for holder in holders)

    async def test_exclusive(self) -> None:
        """An exclusive task waits for shared holders and blocks later ones."""
        lock = SharedExclusiveLock()
        first, exclusive = Holder(lock), Holder(lock, exclusive=True)
        await settle()
        later = Holder(lock)
        await settle()
        assert (first.has_lock, exclusive.has_lock, later.has_lock) == (
            True,
            False,
            False,
        )
        first.release.set()
        await settle()
        assert (exclusive.has_lock, later.has_lock) == (True, False)
        exclusive.release.set()
        await settle()
        assert later.has_lock

    async def test_two_exclusive(self) -> None:
        """Two exclusive tasks hold the lock one after the other."""
        lock = SharedExclusiveLock()
        holders = [Holder(lock, exclusive=True), Holder(lock, exclusive=True)]
        await settle()
        assert [holder.has_lock for holder in holders] == [True, False]
        holders[0].release.set()
        await settle()
        assert [holder.has_lock for holder in holders] == [False, True]

    async def test_cancelled_while_waiting(self) -> None:
        """A cancelled exclusive waiter no longer blocks shared tasks."""
        lock = SharedExclusiveLock()
        first, exclusive = Holder(lock), Holder(lock, exclusive=True)
        await settle()
        later = Holder(lock)
        exclusive.task.cancel()
        await settle()
        assert first.has_lock
        assert later.has_lock
