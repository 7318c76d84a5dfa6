"""Tests of the requests for settings that a peer has."""

import pytest

from skylarkdoor.wire import pb
from skylarkdoord.common import SettingsService

PATH = "/teams/a"


class Peer:
    """The far end of a stream, which states a revision."""

    def __init__(self, service, revision):
        self.requests = []
        self.exchange = service.exchanges.open(pb.EntryMessage, self.receive)
        head = pb.SettingsHead(path=PATH, revision=revision)
        self.exchange.on_heads(pb.SettingsHeads(heads=[head]))

    def receive(self, message):
        """Record a request."""
        if message.WhichOneof("kind") == "settings_wanted":
            self.requests += message.settings_wanted.paths

    def answer(self, row):
        """Send a row."""
        self.exchange.on_document(pb.SettingsDocument(path=PATH, row=row))


class TestMalformedRow:
    """A row of a peer that isn't a settings row."""

    @pytest.fixture
    async def service(self):
        """Return the settings of a process."""
        service = SettingsService()
        yield service
        service.exchanges.close()

    # Guards against a request for the same row as often as the peer answers.
    async def test_waits(self, service):
        """It is requested again only after the time for an answer."""
        peer = Peer(service, 2)
        for _ in range(5):
            peer.answer(b"spoilt")
        assert peer.requests == [PATH]

    async def test_requested_again(self, service):
        """Another peer may have it, and a good row ends the requests."""
        peer = Peer(service, 2)
        peer.answer(b"spoilt")
        service.exchanges.on_fetch_ended(PATH)
        assert peer.requests == [PATH, PATH]
        peer.answer(b'{"revision": 2, "document": {"customers": {}}}')
        assert service.highest_revision(PATH) == 2
        assert not service.exchanges.missing
        assert not service.exchanges.fetches
