"""Tests of many connections that are opened at once."""

import asyncio
import contextlib
import socket

from aiohttp import web

from skylarkdoor.kernel import Kernel
from skylarkdoord._listening import open_site
from skylarkdoord.ingress import ConnectionTable, IngressServer

CONNECTIONS = 200
# Connections of one pass of the loop, beside which the store is still heard in time.
MOST_IN_PASS = 32


class TestBurst:
    """Connections that wait to be accepted."""

    # Guards against callers that connect and keep the loop from the control path.
    async def test_accepted_in_pass(self):
        """Few connections are accepted in one pass of the event loop."""
        table = ConnectionTable()

        async def handle(raw):
            return web.Response()

        runner = web.ServerRunner(IngressServer(handle, table=table))
        await runner.setup()
        await open_site(Kernel(), "127.0.0.1:0", runner)
        with contextlib.ExitStack() as stack:
            for _ in range(CONNECTIONS):
                client = socket.create_connection(runner.addresses[0], 1)
                stack.enter_context(client)
            in_pass = []
            while len(table) < CONNECTIONS:
                before = len(table)
                await asyncio.sleep(0)
                in_pass.append(len(table) - before)
        await runner.cleanup()
        assert max(in_pass) <= MOST_IN_PASS
