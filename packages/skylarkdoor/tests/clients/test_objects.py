"""Tests of the object store's client against the platform stand-in."""

import pytest

from skylarkdoor.clients import (
    ObjectAbsent,
    ObjectChanged,
    ObjectStore,
    ObjectsUnavailable,
)


class TestObjectStore:
    """`ObjectStore`."""

    async def test_round_trip(self, platform):
        """An object reads back, also with special characters in its key."""
        store = ObjectStore(platform.session, [platform.url])
        await store.put("settings/a b?c", b"data")
        assert await store.get("settings/a b?c") == b"data"

    async def test_absent(self, platform):
        """A read of a key without an object raises `ObjectAbsent`."""
        store = ObjectStore(platform.session, [platform.url])
        with pytest.raises(ObjectAbsent):
            await store.get("a")

    @pytest.mark.parametrize("mode", ["down", "closed"])
    async def test_unavailable(self, platform, mode):
        """An outage raises an error and is not mistaken for an absent object."""
        store = ObjectStore(platform.session, [platform.url])
        await platform.fault("objects", mode=mode)
        with pytest.raises(ObjectsUnavailable):
            await store.get("a")


class TestReplace:
    """`ObjectStore.replace`."""

    async def test_unchanged(self, platform):
        """An object that has not changed since it was read is replaced."""
        objects = ObjectStore(platform.session, [platform.url])
        await objects.replace("a", b"1", etag=None)
        stored = await objects.read("a")
        await objects.replace("a", b"2", etag=stored.etag)
        assert await objects.get("a") == b"2"

    async def test_changed(self, platform):
        """An object that was changed or created since the read is not replaced."""
        objects = ObjectStore(platform.session, [platform.url])
        await objects.put("a", b"1")
        stored = await objects.read("a")
        await objects.put("a", b"2")
        for etag in (stored.etag, None):
            with pytest.raises(ObjectChanged):
                await objects.replace("a", b"3", etag=etag)
        assert await objects.get("a") == b"2"
