"""Tests of reading and writing a stream at the same time."""

import asyncio

import pytest

from skylarkdoor.wire import Outbox, OutboxFullError, run_duplex


async def wait():
    """Wait until cancelled."""
    await asyncio.Event().wait()


async def fail(error):
    """Fail with an error after a moment."""
    await asyncio.sleep(0)
    raise error


class TestRunDuplex:
    """`run_duplex`."""

    @pytest.mark.parametrize("error", [ConnectionResetError(), ValueError()], ids=repr)
    async def test_failure(self, error):
        """The failure of either side ends both and is raised as it is."""
        with pytest.raises(type(error)):
            await run_duplex(fail(error), wait(), Outbox())
        with pytest.raises(type(error)):
            await run_duplex(wait(), fail(error), Outbox())

    async def test_full_outbox(self):
        """A peer that reads too slowly ends both."""
        outbox = Outbox(limit=0)
        outbox.put("message")
        with pytest.raises(OutboxFullError):
            await run_duplex(wait(), wait(), outbox)

    # Guards against a link that ends for good when its connection is lost.
    async def test_reader_is_cancelled(self):
        """A reader that cancels its own task and fails, as grpclib does, just fails."""

        async def read():
            asyncio.current_task().cancel()
            try:
                await wait()
            except asyncio.CancelledError:
                raise ConnectionResetError from None

        for _ in range(2):
            with pytest.raises(ConnectionResetError):
                await run_duplex(read(), wait(), Outbox())
        assert not asyncio.current_task().cancelling()

    async def test_both_fail(self):
        """A message that can't be handled is told before a lost connection."""

        async def write():
            try:
                await wait()
            finally:
                raise ValueError

        with pytest.raises(ValueError):
            await run_duplex(fail(OSError()), write(), Outbox())

    # Guards against a loop that opens streams for ever, as it never sees its end.
    async def test_cancelled_as_it_fails(self):
        """A cancellation is not lost if a side fails at the same moment."""
        begun = asyncio.Event()

        async def write():
            begun.set()
            await asyncio.sleep(0)
            task.cancel()
            raise ConnectionResetError

        async def reconnect():
            while True:
                try:
                    await run_duplex(wait(), write(), Outbox())
                except ConnectionResetError:
                    await asyncio.sleep(0.01)

        task = asyncio.create_task(reconnect())
        await begun.wait()
        async with asyncio.timeout(5):
            await asyncio.wait({task})
        assert task.cancelled()
