"""Tests of reading and writing a stream at the same time."""

import asyncio
import contextlib
import gc

import pytest

from skylarkdoor import events
from skylarkdoor.tasks import end_tasks
from skylarkdoor.wire import Outbox, OutboxFullError, run_duplex


@contextlib.contextmanager
def collect_unfetched():
    """Collect what the event loop is told of exceptions that nobody fetched."""
    loop = asyncio.get_running_loop()
    unfetched = []
    loop.set_exception_handler(lambda loop, context: unfetched.append(context))
    yield unfetched
    gc.collect()
    loop.set_exception_handler(None)


async def is_cancelled(read, write):
    """Cancel a duplex; return whether it ended as cancelled."""
    task = asyncio.create_task(run_duplex(read, write, Outbox()))
    await asyncio.sleep(0.01)
    await end_tasks([task])
    return task.cancelled()


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

    # Guards against a bare traceback on standard error as a process shuts down.
    async def test_lost_as_it_is_cancelled(self):
        """A reader that answers its cancellation with a lost connection is no error."""

        async def read():
            try:
                await wait()
            except asyncio.CancelledError:
                raise ConnectionResetError from None

        with collect_unfetched() as unfetched:
            assert await is_cancelled(read(), wait())
        assert unfetched == []

    # Guards against a fault of the program that leaves no line.
    async def test_fault_as_it_is_cancelled(self, caplog):
        """A side that fails otherwise as it is cancelled is logged."""

        async def write():
            try:
                await wait()
            finally:
                raise ValueError("odd")

        with caplog.at_level("WARNING"), collect_unfetched() as unfetched:
            assert await is_cancelled(wait(), write())
        (record,) = caplog.records
        assert record.event == events.TASK_ENDED.number
        assert record.error == "ValueError('odd')"
        assert unfetched == []
