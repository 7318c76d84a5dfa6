"""Fixtures: requests, and sidecar peers without a connection."""

import itertools
import time

import pytest
from multidict import CIMultiDict

from skylarkdoor.clients import InstanceRecord
from skylarkdoor.settings import Customer, Pool, ResolvedCustomer, Tier
from skylarkdoor.wire import pb
from skylarkdoord.common import SettingsService
from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._request import EntryRequest

POOL = Pool(kind="model", models=("garden-7b",))


@pytest.fixture
def make_request():
    """Return a function that makes requests."""
    numbers = itertools.count()

    def make(*, tier=1, body=b"{}", deadline_s=30.0, pool=POOL, **limits):
        customer = Customer(key_hashes=(), tier="t", pools=("assistant",), **limits)
        return EntryRequest(
            request_id=f"r{next(numbers)}",
            resolved=ResolvedCustomer("riga", "garden", customer, Tier(rank=tier)),
            pool_name="assistant",
            pool=pool,
            method="POST",
            path="/v1/completions",
            headers=CIMultiDict(),
            body=body,
            model="garden-7b",
            deadline_at=time.monotonic() + deadline_s,
        )

    return make


@pytest.fixture
def make_peer():
    """Return a function that makes sidecar peers which count as connected."""

    def make(instance, **load):
        record = InstanceRecord(
            instance=instance,
            role="sidecar",
            data_centre="teika",
            state="live",
            rpc="127.0.0.1:1",
            http="127.0.0.1:2",
            pool="assistant",
        )
        peer = SidecarPeer(record, pb.EntryHello(), SettingsService())
        peer.connected = True
        peer.load = pb.LoadReport(**load)
        return peer

    return make
