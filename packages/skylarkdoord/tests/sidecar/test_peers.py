"""Tests of `skylarkdoord.sidecar._peers`."""

import asyncio
from types import SimpleNamespace

from h2.exceptions import StreamClosedError

from skylarkdoor import events
from skylarkdoor.wire import Outbox, pb
from skylarkdoord.sidecar import _peers as peers


class TestLoadCache:
    """`LoadCache`."""

    def test_once_for_all_streams(self, monkeypatch):
        """The load is computed again only after `MAX_LOAD_AGE_S`."""
        now = 100.0
        monkeypatch.setattr(peers.time, "monotonic", lambda: now)
        measured = []

        def measure() -> pb.LoadReport:
            measured.append(now)
            return pb.LoadReport(running=len(measured))

        cache = peers.LoadCache(measure)
        assert cache.read().running == 1
        assert cache.read().running == 1
        now += 2 * peers.MAX_LOAD_AGE_S
        assert cache.read().running == 2


class ClosedStream:
    """A stream that the entry closes after its greeting."""

    def __init__(self):
        hello = pb.EntryHello(instance="entry-1")
        self.messages = [pb.EntryBatch(messages=[pb.EntryMessage(hello=hello)])]

    async def recv_message(self):
        """Return the greeting, then wait forever."""
        if self.messages:
            return self.messages.pop()
        return await asyncio.Event().wait()

    async def send_message(self, message):
        """Raise the error that h2 raises on a closed stream."""
        raise StreamClosedError(1)


class TestPeerServer:
    """`PeerServer`."""

    async def test_closed_by_the_entry(self, monkeypatch):
        """A stream closed during a send is closed without an error."""
        server = peers.PeerServer.__new__(peers.PeerServer)
        server.log = events.get_logger("sidecar.peers")
        server.loads = peers.LoadCache(lambda: pb.LoadReport(running=1))
        peer = SimpleNamespace(instance="entry-1", outbox=Outbox())
        closed = []
        monkeypatch.setattr(server, "is_known", lambda *_: True)
        monkeypatch.setattr(server, "open", lambda hello: peer)
        monkeypatch.setattr(server, "close", closed.append)
        peer.outbox.wake()
        await server.Connect(ClosedStream())
        assert closed == [peer]
