"""Tests of the instance list's client against the platform stand-in."""

import json

import pytest

from skylarkdoor.clients import (
    InstanceList,
    InstanceRecord,
    ListUnavailable,
    ObjectStore,
)
from skylarkdoor.clients._instances import _read as read_list

RECORD = InstanceRecord(
    instance="sidecar-1",
    role="sidecar",
    data_centre="teika",
    pool="assistant",
    state="live",
    http="127.0.0.1:1",
    rpc="127.0.0.1:2",
)


async def register(platform, labels: dict[str, str]) -> None:
    """Add an instance to the list."""
    group = {"targets": ["127.0.0.1:1"], "labels": labels}
    async with platform.session.post(
        f"{platform.url}/sd/instances", json=group
    ) as response:
        response.raise_for_status()


class TestInstanceList:
    """`InstanceList`."""

    async def test_records(self, platform):
        """A registered instance is listed with all its labels."""
        await register(platform, RECORD._asdict())
        found = await InstanceList(platform.session, [platform.url]).fetch()
        assert found == [RECORD]

    async def test_down(self, platform):
        """An outage raises an error and is not mistaken for an empty list."""
        await platform.fault("list", mode="down")
        with pytest.raises(ListUnavailable):
            await InstanceList(platform.session, [platform.url]).fetch()

    async def test_malformed_record(self, platform):
        """A record that lacks required labels does not hide the others."""
        await register(platform, {"instance": "broken"})
        await register(platform, RECORD._asdict())
        found = await InstanceList(platform.session, [platform.url]).fetch()
        assert found == [RECORD]

    # Guards against a record of another writer that ends the process that reads it.
    @pytest.mark.parametrize(
        "labels",
        [
            {"rpc": "127.0.0.1:65536"},
            {"rpc": "127.0.0.1:0"},
            {"http": "127.0.0.1"},
            {"http": "a..b:80"},
            {"instance": "\ud800"},
            {"pool": ["p"] * 10},
        ],
        ids=str,
    )
    async def test_odd_record(self, platform, labels):
        """A record whose instance can't be called does not hide the others."""
        body = json.dumps(
            [{"labels": RECORD._asdict() | labels}, {"labels": RECORD._asdict()}]
        )
        assert read_list(body.encode()) == [RECORD]

    def test_nested_too_deeply(self):
        """A record that nests too deeply is treated as an outage."""
        with pytest.raises(ListUnavailable):
            read_list(b'[{"labels": ' + b"[" * 100_000)

    async def test_malformed_list(self, platform):
        """A response that is not a list is treated as an outage."""
        instances = InstanceList(platform.session, [f"{platform.url}/objects"])
        store = ObjectStore(platform.session, [platform.url])
        await store.put("sd/instances", b"{}")
        with pytest.raises(ListUnavailable):
            await instances.fetch()
