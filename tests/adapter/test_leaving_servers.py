"""Tests of servers that say in their answers that they leave."""

import asyncio
import time

import pytest

from ._standins import Server, reply, route, server_row, signed

ROUTE = route(maxAttempts=2)
# Time after the first such answer from which a server gets nothing more.
DRAIN_S = 2.0


def leave(body=b"answer"):
    """Return a script that answers and says that the server leaves."""

    async def script(request, writer):
        fields = ("Server-Leaving: 1", f"Content-Length: {len(body)}")
        writer.write(signed(request, *fields) + body)

    return script


class TestLeaving:
    """`Server-Leaving`, while the registry still lists the server as ready."""

    # Guards against requests that go on reaching a server which said that it leaves.
    @pytest.mark.parametrize("others", [1, 3])
    async def test_no_more_requests(self, start, others):
        """The server gets no request after its first such answer is known."""
        async with Server(leave()) as leaving, Server(reply()) as staying:
            servers = [leaving] + [staying] * others
            async with start([ROUTE], servers) as caller:
                while not leaving.requests:
                    await asyncio.gather(*(caller.get() for _ in range(4)))
                reached = len(leaving.requests)
                until = time.monotonic() + DRAIN_S + 0.5
                while time.monotonic() < until:
                    answers = await asyncio.gather(*(caller.get() for _ in range(4)))
                    assert {status for status, _, _ in answers} == {200}
                assert len(leaving.requests) == reached

    async def test_all_leave(self, start):
        """If all leave, a request is refused at once as not run."""
        async with Server(leave()) as server:
            async with start([ROUTE], [server]) as caller:
                await caller.get()
                began = time.monotonic()
                status, headers, _ = await caller.get()
        assert status == 503
        assert "Retry-After" in headers
        assert time.monotonic() - began < 1.0
        assert len(server.requests) == 1

    # Guards against a server that is avoided for good after a restart under its id.
    async def test_restart(self, start, store):
        """A later start of the same server has said nothing yet."""
        async with Server(leave()) as server:
            async with start([ROUTE], [server]) as caller:
                await caller.get()
                server.script = reply()
                await store.put(
                    "servers", "i-0", server_row(server, born=2, sequence=1)
                )
                fleet = caller.entry.kernel.services["fleet"].fleet
                await caller.entry.until(lambda: fleet.find("i-0").started_ms == 2)
                status, _, _ = await caller.get()
        assert status == 200

    @pytest.mark.parametrize("value", ["0", "", "no"])
    async def test_not_leaving(self, start, value):
        """Another value says nothing."""

        async def script(request, writer):
            fields = (f"Server-Leaving: {value}", "Content-Length: 2")
            writer.write(signed(request, *fields) + b"ok")

        async with Server(script) as server:
            async with start([ROUTE], [server]) as caller:
                for _ in range(2):
                    assert (await caller.get())[0] == 200
