"""A server of the platform that crashes and starts again."""

import asyncio

from skylarkdoor_bench.testing import free_port

from ._standins import LOOPBACK, Server, reply, reset, server_row

# Time for which the store keeps the row of a server that has crashed.
LAPSE_S = 1.2


class RestartingServer(Server):
    """A server that crashes with each request and then starts again.

    Args:
        store: The platform's store.
        name: Id of its first incarnation.
        down_s: Time until it starts again, in seconds.
        has_new_id: Whether its next incarnation has another id.
        answers: Requests that it answers before the first that crashes it.
        begin: Script of what it sends before it crashes; None for nothing.
    """

    def __init__(self, store, name, *, down_s, has_new_id, answers=0, begin=None):
        super().__init__(self.crash)
        self.store = store
        self.name = name
        self.down_s = down_s
        self.has_new_id = has_new_id
        self.answers = answers
        self.begin = begin
        self.crashes = 0
        self.tasks = set()
        self.writers = set()

    async def __aenter__(self):
        """Listen on a reserved port."""
        self.port = free_port()
        self.address = f"{LOOPBACK}:{self.port}"
        await self.listen()
        return self

    async def __aexit__(self, *exc):
        """Close the listener and forget pending restarts."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.server.close()

    @property
    def instance(self):
        """Id of the current incarnation."""
        return f"{self.name}-{self.crashes}" if self.has_new_id else self.name

    async def listen(self):
        """Accept connections and write this incarnation's row."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        row = server_row(self, born=1 + self.crashes)
        await self.store.put("servers", self.instance, row)

    async def crash(self, request, writer):
        """Answer the first requests; then reset the connection and restart."""
        if request.header("Target-Instance") != [self.instance]:
            writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            self.requests.remove(request)
            return
        if self.answers:
            self.answers -= 1
            self.requests.remove(request)
            await reply()(request, writer)
            return
        self.server.close()
        if self.begin is not None:
            await self.begin(request, writer)
        for open_writer in self.writers:
            reset(open_writer)
        self.writers.clear()
        for work in (self.lapse(self.instance), self.restart()):
            task = asyncio.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        await super().serve(reader, writer)
        self.writers.discard(writer)

    async def lapse(self, instance):
        """Remove the row of a crashed incarnation, unless it has the same id."""
        if self.has_new_id:
            await asyncio.sleep(LAPSE_S)
            await self.store.put("servers", instance, None)

    async def restart(self):
        """Start the next incarnation."""
        await asyncio.sleep(self.down_s)
        self.crashes += 1
        await self.listen()
