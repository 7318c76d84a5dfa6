"""Tests of an entry's shutdown."""

import asyncio
import contextlib
import socket

import aiohttp
import pytest

from ._standins import HOST, Server, event, reply, route, stream

STREAM = route(routeType="streaming", maxAttempts=1)
REQUEST = (
    f"GET /desk/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: a1\r\n"
    "Deadline-Ms: 3000\r\n\r\n"
).encode()


def connect(caller):
    """Return a socket that is connected, whether or not the entry accepted it."""
    host, _, port = caller.entry.url.rpartition("/")[2].partition(":")
    connection = socket.create_connection((host, int(port)), timeout=3.0)
    connection.setblocking(False)
    return connection


async def receive(connection):
    """Return what arrives on a connection until it is closed."""
    received = b""
    with connection:
        async with asyncio.timeout(5):
            while True:
                chunk = await asyncio.get_running_loop().sock_recv(connection, 4096)
                if not chunk:
                    return received
                received += chunk


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

    # Guards against requests that are cut off in a planned stop under load, when the
    # process has received them but has not begun to handle them.
    @pytest.mark.parametrize("are_accepted", [False, True])
    async def test_just_received(self, start, are_accepted):
        """Requests that arrive just before the listeners close are answered."""
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                connections = [connect(caller) for _ in range(20)]
                if are_accepted:
                    await asyncio.sleep(0.1)
                stopping = self.stop(caller, notice_s=0.0)
                for connection in connections:
                    connection.sendall(REQUEST)
                answers = await asyncio.gather(*map(receive, connections))
                await stopping
        assert [answer[:15] for answer in answers] == [b"HTTP/1.1 200 OK"] * 20

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


async def hang(request, writer):
    """Never respond."""
    await asyncio.sleep(60)


async def never_answer(request):
    """Never answer a call of the store."""
    await asyncio.sleep(60)


class TestEndOfGrace:
    """Requests that are still there when the shutdown timeout ends."""

    def stop(self, caller, *, timeout_s=2.0, notice_s=0.3):
        """Start to stop the entry."""
        callers = caller.entry.kernel.services["callers"]
        callers.drain_notice_s = notice_s
        callers.shutdown_timeout_s = timeout_s
        caller.entry.kernel.started.remove(callers)
        return asyncio.create_task(callers.stop())

    # Guards against a request that may run once and is cut off without an answer.
    @pytest.mark.parametrize("kind", ["non_idempotent", "idempotent", "streaming"])
    async def test_running(self, start, kind):
        """A request whose server still works is told that its outcome is unknown."""
        async with Server(hang) as server:
            routes = [route(routeType=kind, timeoutMs=20_000, maxAttempts=1)]
            async with start(routes, [server]) as caller:
                limit = {"Deadline-Ms": "20000"}
                task = asyncio.create_task(caller.get(method="POST", headers=limit))
                await caller.entry.until(lambda: server.requests)
                await self.stop(caller)
                status, headers, body = await task
        assert status == 502
        assert headers["Connection"] == "close"
        assert b"outcome_unknown" in body
        assert len(server.requests) == 1

    # Guards against a request that waits until the end and is closed without an answer.
    async def test_waiting(self, start):
        """A request that waits for a slot is refused as not run."""
        async with Server(hang) as server:
            server.slots = 1
            routes = [route(routeType="non_idempotent", timeoutMs=20_000)]
            async with start(routes, [server]) as caller:
                limit = {"Deadline-Ms": "20000"}
                tasks = [
                    asyncio.create_task(caller.get(method="POST", headers=limit))
                    for _ in range(8)
                ]
                await caller.entry.until(lambda: server.requests)
                await self.stop(caller)
                answers = await asyncio.gather(*tasks)
        sent = [status for status, _, _ in answers if status == 502]
        assert len(sent) == len(server.requests)
        assert {status for status, _, _ in answers} == {502, 503}

    # Guards against a request that is taken although it can't end in time.
    async def test_late(self, start):
        """A request that would take too long is refused at once and not sent."""
        async with Server(hang) as server:
            routes = [route(routeType="non_idempotent", timeoutMs=20_000)]
            async with start(routes, [server]) as caller:
                stopping = self.stop(caller, notice_s=1.0)
                await asyncio.sleep(0.05)
                limit = {"Deadline-Ms": "20000"}
                async with asyncio.timeout(0.5):
                    answer = await caller.get(method="POST", headers=limit)
                await stopping
        status, headers, body = answer
        assert status == 503
        assert headers["Connection"] == "close"
        assert b"draining" in body
        assert not server.requests

    async def test_stream(self, start):
        """A stream that has begun and can't end in time does not look complete."""
        endless = stream(range(1, 1000), pause_s=0.1)
        async with Server(endless) as server:
            routes = [route(routeType="streaming", maxAttempts=1, timeoutMs=20_000)]
            async with start(routes, [server]) as caller:
                limit = {"Deadline-Ms": "20000"}
                task = asyncio.create_task(caller.get(headers=limit))
                await caller.entry.until(lambda: server.requests)
                await self.stop(caller)
                with pytest.raises(aiohttp.ClientError):
                    await task

    async def test_end(self, start):
        """The entry has closed its connections when the shutdown timeout ends."""
        async with Server(hang) as server:
            async with start([route(timeoutMs=20_000)], [server]) as caller:
                limit = {"Deadline-Ms": "20000"}
                task = asyncio.create_task(caller.get(headers=limit))
                await caller.entry.until(lambda: server.requests)
                async with asyncio.timeout(2.0):
                    await self.stop(caller)
                assert (await task)[0] == 502


class TestHangingStore:
    """The shutdown of a whole entry while the store answers no write."""

    TIMEOUT_S = 3.0

    # Guards against a process that is killed because it outlasts the shutdown timeout.
    @pytest.mark.parametrize("runs_stream", [False, True])
    async def test_ends_in_time(self, start, store, runs_stream):
        """It ends within the timeout, also with a stream under way."""
        endless = stream(range(1, 1000), pause_s=0.1)
        async with Server(endless) as server, contextlib.AsyncExitStack() as stack:
            routes = [route(routeType="streaming", maxAttempts=1, timeoutMs=20_000)]
            caller = await stack.enter_async_context(start(routes, [server]))
            entry = caller.entry
            entry.kernel.services["limit_records"].has_written = True
            entry.apply(entry.settings._replace(shutdown_timeout_s=self.TIMEOUT_S))
            if runs_stream:
                limit = {"Deadline-Ms": "20000"}
                stack.enter_context(contextlib.suppress(aiohttp.ClientError))
                await stack.enter_async_context(
                    caller.request("/desk/1", headers=limit)
                )
            store.on_commit = never_answer
            async with asyncio.timeout(self.TIMEOUT_S):
                await entry.kernel.stop()
