"""The object store's client against the platform stand-in."""

import pytest

from skylarkdoor.platform import ObjectAbsent, ObjectStore, ObjectsUnavailable


class TestObjectStore:
    """`ObjectStore`."""

    async def test_round_trip(self, platform):
        """An object reads back, whatever its key."""
        store = ObjectStore(platform.session, [platform.url])
        await store.put("settings/a b?c", b"data")
        assert await store.get("settings/a b?c") == b"data"

    async def test_absent(self, platform):
        """A key without an object has an error of its own."""
        store = ObjectStore(platform.session, [platform.url])
        with pytest.raises(ObjectAbsent):
            await store.get("a")

    @pytest.mark.parametrize("mode", ["down", "closed"])
    async def test_unavailable(self, platform, mode):
        """An outage is told from an absent object."""
        store = ObjectStore(platform.session, [platform.url])
        await platform.fault("objects", mode=mode)
        with pytest.raises(ObjectsUnavailable):
            await store.get("a")
