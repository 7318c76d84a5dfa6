"""A direct entry whose event loop stands still or has much to do in each pass."""

import asyncio
import contextlib
import threading
import time

import aiohttp
import pytest

from ._standins import HOST, Entry, Server, Store, config, route, server_row, signed

# Time that the other work of a pass takes. A stall of the loop is logged from 1 s on.
PASS_S = 0.5
# Time before the change, after which no call to the store is from before.
BUSY_S = 6.0
# Time in which a change of the configuration is in force on the largest deployment.
IN_FORCE_S = 14.0
# Time after its acknowledgement at which a version has to be in force on a small one.
APPLY_S = 3.0
STALL_S = 4.0
# Time between steps that are done while the loop stands still.
STEP_S = 0.2
SERVICES = ("old", "new")
SLOTS = 50


class Platform:
    """A store, servers and a caller with an event loop of their own.

    Attributes:
        runs: Services that ran a request, in order.
    """

    def __init__(self):
        self.runs = []

    def __enter__(self):
        """Start the store and the servers."""
        self.is_open = threading.Event()
        self.thread = threading.Thread(target=asyncio.run, args=(self.serve(),))
        self.thread.start()
        self.is_open.wait()
        return self

    def __exit__(self, *exc):
        """Stop them."""
        self.loop.call_soon_threadsafe(self.closing.set)
        self.thread.join()

    async def serve(self):
        """Serve until the context ends."""
        self.loop = asyncio.get_running_loop()
        self.closing = asyncio.Event()
        async with contextlib.AsyncExitStack() as resources:
            self.store = await resources.enter_async_context(Store())
            for service in SERVICES:
                server = Server(self.script(service))
                server.slots = SLOTS
                await resources.enter_async_context(server)
                row = server_row(server, service=service)
                await self.store.put("servers", f"i-{service}", row)
            await self.put_config(3, "old")
            self.is_open.set()
            await self.closing.wait()

    def script(self, service):
        """Return the script of a service's server."""

        async def answer(request, writer):
            self.runs.append(service)
            writer.write(signed(request, "Content-Length: 0"))
            await writer.drain()

        return answer

    def begin(self, coroutine):
        """Begin a coroutine in the loop of the platform; return its future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    async def put_config(self, version, service):
        """Write a version of the configuration that leads the route to a service."""
        services = [{"name": name} for name in SERVICES]
        content = config(route(service=service), version=version, services=services)
        await self.store.put("op", "config", content)

    async def call(self, session, url, attempt):
        """Send a request and read its answer."""
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "9000"}
        async with session.get(f"{url}/desk/1", headers=headers) as response:
            await response.read()

    async def move_and_call(self, url, is_open):
        """Move the route, and send a request once the move has to be in force.

        Args:
            url: URL of the entry.
            is_open: Set once the connection that carries the request is open.
        """
        async with aiohttp.ClientSession() as session:
            await self.call(session, url, "1")
            is_open.set()
            await asyncio.sleep(STEP_S)
            await self.put_config(4, "new")
            await asyncio.sleep(APPLY_S + STEP_S)
            await self.call(session, url, "2")


async def work():
    """Take the time of a pass in each of them until cancelled."""
    while True:
        time.sleep(PASS_S)
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def busy():
    """Let the loop have much to do within the context."""
    task = asyncio.create_task(work())
    try:
        yield
    finally:
        task.cancel()


class TestConfiguration:
    """Changes of the configuration."""

    # Guards against timeouts of calls to the store that count the time in which the
    # entry itself was busy, so that no call ever succeeds.
    @pytest.mark.parametrize("status", [200, 503])
    async def test_slow_passes(self, status):
        """A change is in force in time, also after the store was away."""
        with Platform() as platform:
            async with Entry(platform.store) as entry:
                fleet = entry.kernel.services["fleet"].fleet
                await entry.until_serving(servers=len(SERVICES))
                async with busy():
                    platform.store.status = status
                    await asyncio.sleep(BUSY_S)
                    platform.store.status = 200
                    platform.begin(platform.put_config(4, "new")).result()
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(IN_FORCE_S):
                            while fleet.routing.config.version != 4:
                                await asyncio.sleep(0)
                assert fleet.routing.config.version == 4

    # Guards against requests that are handled by the old configuration although the
    # new one arrived before them, while the loop stood still.
    async def test_stall(self):
        """A request sent when a change has to be in force runs at the new service."""
        with Platform() as platform:
            async with Entry(platform.store) as entry:
                await entry.until_serving(servers=len(SERVICES))
                is_open = threading.Event()
                call = platform.begin(platform.move_and_call(entry.url, is_open))
                await entry.until(is_open.is_set)
                time.sleep(STALL_S)
                await asyncio.wrap_future(call)
                assert platform.runs == ["old", "new"]
