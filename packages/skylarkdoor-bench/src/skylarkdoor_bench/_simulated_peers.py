"""Simulated entries and sidecars, for control streams in large numbers."""

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Self

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from skylarkdoor.wire import Outbox, PeerBase, PeerStub, pb
from skylarkdoor_bench._ports import free_port

if TYPE_CHECKING:
    from grpclib.server import Stream

_HOST = "127.0.0.1"
_HEARTBEAT_INTERVAL_S = 1.0
_REPORT_INTERVAL_S = 1.0
_CONNECTION_ERRORS = (GRPCError, StreamTerminatedError, OSError)


class SimulatedEntry:
    """Keeps one control stream to a sidecar, as an entry does.

    Args:
        address: RPC address of the sidecar, as `host:port`.
        name: Instance name to report.
    """

    def __init__(self, address: str, name: str) -> None:
        self.address = address
        self.name = name
        self.outbox: Outbox[pb.EntryMessage] = Outbox()
        self.granted = 0
        self.tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        host, _, port = self.address.rpartition(":")
        self.channel = Channel(host, int(port))
        self.stream_context = PeerStub(self.channel).Connect.open()
        self.stream = await self.stream_context.__aenter__()
        hello = pb.EntryHello(instance=self.name, data_centre="teika", incarnation=1)
        first = pb.EntryBatch(messages=[pb.EntryMessage(hello=hello)])
        await self.stream.send_message(first)
        self.tasks = [
            asyncio.create_task(self._read()),
            asyncio.create_task(self._write()),
        ]
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        with suppress(*_CONNECTION_ERRORS):
            await self.stream.cancel()
        self.channel.close()

    def offer(self, request_id: str) -> None:
        """Offer a request; a grant for it is withdrawn immediately."""
        offer = pb.Offer(
            request_id=request_id,
            team="gardens",
            customer="teika-garden",
            model="garden-7b",
            deadline_ms=10_000,
            prompt_tokens=500,
            max_tokens=200,
            idempotent=True,
            weight=1.0,
        )
        self.outbox.put(pb.EntryMessage(offer=offer))

    async def _read(self) -> None:
        with suppress(*_CONNECTION_ERRORS):
            while (batch := await self.stream.recv_message()) is not None:
                for message in batch.messages:
                    if message.WhichOneof("kind") == "grant":
                        self._withdraw(message.grant)

    def _withdraw(self, grant: pb.Grant) -> None:
        self.granted += 1
        withdraw = pb.Withdraw(request_id=grant.request_id)
        self.outbox.put(pb.EntryMessage(withdraw=withdraw))

    async def _write(self) -> None:
        with suppress(*_CONNECTION_ERRORS):
            while True:
                messages = await self.outbox.take_pending(
                    timeout_s=_HEARTBEAT_INTERVAL_S
                )
                await self.stream.send_message(pb.EntryBatch(messages=messages))


class SimulatedSidecar(PeerBase):
    """Accepts control streams of entries and reports a load, as a sidecar does.

    Args:
        name: Instance name to report.
        pool: Pool to report.
    """

    def __init__(self, name: str, pool: str) -> None:
        self.name = name
        self.pool = pool
        self.address = ""
        self.server = Server([self])

    async def __aenter__(self) -> Self:
        port = free_port()
        await self.server.start(_HOST, port)
        self.address = f"{_HOST}:{port}"
        return self

    async def __aexit__(self, *error: object) -> None:
        self.server.close()
        await self.server.wait_closed()

    async def Connect(  # noqa: N802
        self, stream: "Stream[pb.EntryBatch, pb.SidecarBatch]"
    ) -> None:
        """Report a constant load until the entry closes the stream."""
        reader = asyncio.create_task(self._read(stream))
        hello = pb.SidecarHello(
            instance=self.name,
            data_centre="teika",
            incarnation=time.time_ns(),
            pool=self.pool,
            models=["garden-7b"],
        )
        messages = [pb.SidecarMessage(hello=hello)]
        try:
            while not reader.done():
                load = pb.LoadReport(running=3, limit=8, waiting_by_tier=[0, 2, 1])
                messages.append(pb.SidecarMessage(load=load))
                await stream.send_message(pb.SidecarBatch(messages=messages))
                messages = []
                await asyncio.sleep(_REPORT_INTERVAL_S)
        except _CONNECTION_ERRORS:
            pass
        finally:
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)

    async def _read(self, stream: "Stream[pb.EntryBatch, pb.SidecarBatch]") -> None:
        with suppress(*_CONNECTION_ERRORS):
            while await stream.recv_message() is not None:
                pass
