"""Tests of the requests for settings that a peer has."""

import json

import pytest

from skylarkdoor.wire import pb
from skylarkdoord.common import SettingsService

PATH = "/teams/a"
VALID = {"customers": {}}
INVALID = {"customers": {"x": {"tier": 7}}}


def encode(revision, document):
    """Return an encoded row."""
    return json.dumps({"revision": revision, "document": document}).encode()


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


@pytest.fixture
async def service():
    """Return the settings of a process."""
    service = SettingsService()
    yield service
    service.exchanges.close()


class TestMalformedRow:
    """A row of a peer that isn't a settings row."""

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


class TestRejectedRevision:
    """A revision that this process has rejected."""

    # Guards against a restarted process without the settings that the others have.
    async def test_former(self, service):
        """The former revision is requested from a peer that has it in force."""
        service.apply_encoded_row(PATH, encode(2, INVALID))
        peer = Peer(service, 1)
        assert peer.requests == [PATH]
        peer.answer(encode(1, VALID))
        assert service.revisions() == {PATH: 1}
        assert not service.exchanges.missing
        assert not service.exchanges.fetches

    # Guards against requests for rows that this process can't use anyway.
    async def test_not_requested_again(self, service):
        """No rejected revision is requested again, whichever peer states it."""
        service.apply_encoded_row(PATH, encode(2, INVALID))
        assert Peer(service, 2).requests == []
        peer = Peer(service, 1)
        peer.answer(encode(1, INVALID))
        assert peer.requests == [PATH]
        assert Peer(service, 1).requests == []
        assert Peer(service, 2).requests == []

    # Guards against a peer whose revision is forgotten while a later one is requested.
    async def test_rejected_while_requested(self, service):
        """If the later of two revisions is rejected, the former is requested."""
        later, former = Peer(service, 2), Peer(service, 1)
        assert (later.requests, former.requests) == ([PATH], [])
        later.answer(encode(2, INVALID))
        assert (later.requests, former.requests) == ([PATH], [PATH])
        former.answer(encode(1, VALID))
        assert service.revisions() == {PATH: 1}
        assert not service.exchanges.missing

    async def test_later(self, service):
        """A later revision is requested, and then no former one."""
        service.apply_encoded_row(PATH, encode(2, INVALID))
        peer = Peer(service, 3)
        peer.answer(encode(3, VALID))
        assert service.revisions() == {PATH: 3}
        assert Peer(service, 1).requests == []
        service.apply_encoded_row(PATH, encode(2, VALID))
        assert service.revisions() == {PATH: 3}
