"""The ways of entries to the store and to other data centres, which can be impaired."""

import asyncio
import contextlib
import enum
import math
import time
from collections import Counter, deque

from aiohttp import web

from tests.adapter._standins import LOOPBACK, Store

from ._proxy import BUFFER_BYTES, Fault, Proxy


class Refusal(enum.Enum):
    """How the store turns an entry away.

    Attributes:
        NONE: It doesn't.
        UNAVAILABLE: Status 503.
        BUSY: Status 429.
        RESET: Open and new connections are reset.
        SILENT: No call is answered. Connections that were open meanwhile stay open and
            are never answered again.
        LOST: Calls are carried out, and their answers are lost. A connection with a
            lost answer stays open and is never answered again.
    """

    NONE = 200
    UNAVAILABLE = 503
    BUSY = 429
    RESET = "reset"
    SILENT = "silent"
    LOST = "lost"


# How the store turns some entries away while it serves others.
AWAY = (Refusal.UNAVAILABLE, Refusal.BUSY, Refusal.RESET, Refusal.SILENT)


class StorePort:
    """The port of the store that serves one entry."""

    def __init__(self):
        self.refusal = Refusal.NONE
        self.epoch = 0
        # Epoch in which each connection was first used; None if it is dead.
        self.epochs = {}

    def refuse(self, refusal):
        """Turn the entry away from now on; `NONE` ends that."""
        if Refusal.SILENT in (refusal, self.refusal):
            self.epoch += 1
        self.refusal = refusal
        if refusal is Refusal.RESET:
            for transport in self.epochs:
                transport.abort()

    def is_dead(self, transport):
        """Return whether a connection is never answered again."""
        epoch = self.epochs.setdefault(transport, self.epoch)
        return self.refusal is Refusal.SILENT or epoch != self.epoch

    def lose_answer(self, transport):
        """Return whether the answer to a call is lost; its connection then is dead."""
        if self.refusal is Refusal.LOST:
            self.epochs[transport] = None
        return self.is_dead(transport)


class SharedStore(Store):
    """A store with a port for each entry.

    Attributes:
        is_compacted: Whether every feed call is told that the history is lost.
        delay_s: Delay of every answer, in seconds.
        max_calls: Most calls in a second; those beyond are told so.
        counts: Number of calls by path and table.
    """

    def __init__(self):
        super().__init__()
        self.is_compacted = False
        self.delay_s = 0.0
        self.max_calls = math.inf
        self.recent = deque()
        self.counts = Counter()
        self.ports = {}

    async def listen(self):
        """Open a port for one entry; return it and its address."""
        await web.TCPSite(self.runner, LOOPBACK, 0).start()
        number = self.runner.addresses[-1][1]
        port = self.ports[number] = StorePort()
        return port, f"{LOOPBACK}:{number}"

    async def get(self, request):
        """Serve a full read."""
        return await self.serve(request, super().get)

    async def feed(self, request):
        """Serve a feed call."""
        self.is_history_lost = self.is_compacted
        return await self.serve(request, super().feed)

    async def commit(self, request):
        """Write rows."""
        return await self.serve(request, super().commit)

    def is_over_limit(self):
        """Return whether a call is beyond those of a second."""
        now = time.monotonic()
        while self.recent and self.recent[0] <= now - 1.0:
            self.recent.popleft()
        if len(self.recent) >= self.max_calls:
            return True
        self.recent.append(now)
        return False

    async def serve(self, request, handler):
        """Serve a call, unless the store turns its entry away."""
        self.counts[f"{request.path} {request.query.get('tableName', '')}"] += 1
        transport = request.transport
        port = self.ports[transport.get_extra_info("sockname")[1]]
        if port.is_dead(transport):
            await asyncio.Event().wait()
        if port.refusal in (Refusal.UNAVAILABLE, Refusal.BUSY):
            return web.Response(status=port.refusal.value)
        if port.refusal is Refusal.RESET:
            transport.abort()
        if self.is_over_limit():
            return web.Response(status=Refusal.BUSY.value)
        await asyncio.sleep(self.delay_s)
        response = await handler(request)
        if port.lose_answer(transport):
            await asyncio.Event().wait()
        return response


class LinkProxy(Proxy):
    """Forwards the streams of one data centre's entries to an entry of another.

    While it is cut, nothing is forwarded on open connections, neither afterwards, and
    new ones are reset.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        super().__init__(LOOPBACK, (host, int(port)))
        self.epoch = 0

    def cut(self):
        """Cut the link."""
        self.fault = Fault.REFUSE
        self.epoch += 1

    def mend(self):
        """End the cut."""
        self.fault = Fault.NONE

    async def copy(self, reader, writer, *, is_response):
        """Copy one direction; return whether it ended cleanly."""
        epoch = self.epoch
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(BUFFER_BYTES):
                if self.epoch == epoch:
                    writer.write(data)
                    await writer.drain()
            return True
        return False
