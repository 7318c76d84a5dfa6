"""Tests of when a process with its first settings is ready for requests."""

import json

import pytest

from skylarkdoor.wire import pb
from skylarkdoord.common import SettingsService

FLEET = {"tiers": {"lookup": {"rank": 0}}, "pools": {"registry": {"kind": "service"}}}
PATH = "/teams/a"


def state_revision(exchange, revision):
    """Let the peer of an exchange state that it has a revision of a team."""
    head = pb.SettingsHead(path=PATH, revision=revision)
    exchange.on_heads(pb.SettingsHeads(heads=[head]))


class TestStaysReady:
    """A process that was ready within the first second."""

    @pytest.fixture
    async def service(self):
        """Return settings that one of two peers has confirmed."""
        service = SettingsService()
        row = {"revision": 1, "document": FLEET}
        service.apply_encoded_row("/fleet", json.dumps(row).encode())
        self.peer = service.exchanges.open(pb.EntryMessage, lambda message: None)
        service.exchanges.open(pb.EntryMessage, lambda message: None)
        assert not service.is_ready()
        state_revision(self.peer, 0)
        assert service.is_ready()
        yield service
        service.exchanges.close()

    # Guards against requests refused as "starting" when a sidecar has just shut down.
    async def test_peer_leaves(self, service):
        """The only peer that has stated its revisions leaves."""
        self.peer.close()
        assert service.is_ready()

    # Guards against requests refused as "starting" while a change is fetched.
    async def test_newer_revision(self, service):
        """A peer states a revision that has to be fetched."""
        state_revision(self.peer, 2)
        assert service.is_ready()
