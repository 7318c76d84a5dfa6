"""Tests of connections that are closed while requests wait on them."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from skylarkdoord.ingress import ConnectionSweeper, ConnectionTable, IngressServer

HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
MAX_UNFINISHED_BYTES = 10_000


@pytest.fixture
async def listener():
    """Return a function that opens connections, a table, and errors of the loop."""
    table = ConnectionTable(max_unfinished_bytes=MAX_UNFINISHED_BYTES)
    release = asyncio.Event()
    left = asyncio.Event()

    async def handle(raw):
        try:
            await release.wait()
        except asyncio.CancelledError:
            left.set()
            raise
        return web.Response()

    server = IngressServer(handle, table=table, handler_cancellation=True)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    address = runner.addresses[0]
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(runner.cleanup)
        sweeping = asyncio.create_task(ConnectionSweeper(table).run())
        stack.callback(sweeping.cancel)

        async def connect():
            reader, writer = await asyncio.open_connection(*address)
            stack.callback(writer.close)
            return reader, writer

        yield connect, table, release, left


class TestRefused:
    """`CallerConnection.refuse`."""

    # Guards against a connection whose task ends with an error of its own.
    async def test_before_handled(self, listener):
        """Requests that arrive at once are refused before the first is handled."""
        connect, _table, release, _ = listener
        _, other = await connect()
        other.write(HEAD[:-2])
        await asyncio.sleep(0.05)
        tasks = asyncio.all_tasks()
        _, writer = await connect()
        await asyncio.sleep(0.05)
        (start,) = [t for t in asyncio.all_tasks() - tasks if "start" in repr(t)]
        writer.write(HEAD * 10)
        await asyncio.sleep(0.1)
        release.set()
        await asyncio.sleep(0.1)
        assert not start.done() or start.cancelled() or start.exception() is None


class TestGone:
    """Callers that leave."""

    # Guards against requests that go on although nobody waits for them.
    @pytest.mark.parametrize("ahead", [1, 6])
    async def test_requests_ahead(self, listener, ahead):
        """It is noticed also of a caller that has sent requests ahead."""
        connect, _, _, left = listener
        _, writer = await connect()
        writer.write(HEAD * ahead)
        await asyncio.sleep(0.1)
        writer.close()
        async with asyncio.timeout(0.5):
            await left.wait()
