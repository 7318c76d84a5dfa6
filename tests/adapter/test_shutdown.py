"""Tests of an entry's shutdown."""

import asyncio

from ._standins import Server, event, reply, route, stream

STREAM = route(routeType="streaming", maxAttempts=1)


class TestShutdown:
    """`CallerServer.stop`."""

    def stop(self, caller, notice_s=0.2):
        """Start to stop the entry."""
        callers = caller.entry.kernel.services["callers"]
        callers.drain_notice_s = notice_s
        caller.entry.kernel.started.remove(callers)
        return asyncio.create_task(callers.stop())

    async def test_running_stream(self, start):
        """A running stream is completed."""
        async with Server(stream(range(1, 9), pause_s=0.1)) as server:
            async with start([STREAM], [server]) as caller:
                task = asyncio.create_task(caller.get())
                await caller.entry.until(lambda: server.requests)
                stopping = self.stop(caller)
                _, _, body = await task
                await stopping
        assert body == b"".join(event(number) for number in range(1, 9))

    async def test_kept_connection(self, start):
        """A request on a kept-alive connection is answered, then the connection closes.

        Idle connections that stayed open accepted requests that were never read; 25 to
        34 requests were lost in one run.
        """
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                assert (await caller.get())[0] == 200
                stopping = self.stop(caller, notice_s=1.0)
                await asyncio.sleep(0.05)
                status, headers, _ = await caller.get()
                assert status == 200
                assert headers["Connection"] == "close"
                await stopping

    async def test_idle_connection(self, start):
        """An idle connection is closed after the drain notice."""
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                host, _, port = caller.entry.url.rpartition("/")[2].partition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                stopping = self.stop(caller)
                async with asyncio.timeout(3):
                    assert await reader.read() == b""
                writer.close()
                await stopping

    async def test_not_ready(self, start):
        """The readiness check fails at once, while callers are still served."""
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                stopping = self.stop(caller, notice_s=0.5)
                await asyncio.sleep(0.05)
                ready = f"http://{caller.entry.settings.listen.ready}/readiness"
                async with caller.session.get(ready) as answer:
                    assert answer.status == 503
                assert (await caller.get())[0] == 200
                await stopping
