"""Tests of a version of the configuration that an entry can't take."""

import pytest

from skylarkdoor_platform import _records

from ._standins import Entry, config, route


@pytest.fixture
async def entry(store):
    """Return an entry that has version 3 in force."""
    await store.put("op", "config", config(route()))
    async with Entry(store) as running:
        await running.until_serving(0)
        yield running


class TestRetry:
    """What an entry does about it."""

    # Guards against an entry that stays at a former version after one failure.
    async def test_passing_failure(self, store, entry, monkeypatch):
        """The version is read and decoded again, and comes into force."""
        fleet = entry.kernel.services["fleet"].fleet
        decode = _records.decode_config
        failures = [MemoryError(), MemoryError()]

        def decode_later(data):
            if failures:
                raise failures.pop()
            return decode(data)

        monkeypatch.setattr(_records, "decode_config", decode_later)
        await store.put("op", "config", config(route(), version=9))
        await entry.until(lambda: fleet.table.config.version == 9)

    async def test_corrected(self, store, entry):
        """A later version, which can be read, comes into force at once."""
        fleet = entry.kernel.services["fleet"].fleet
        await store.put("op", "config", b"{")
        await entry.until(fleet.has_rejected_newer)
        assert fleet.table.config.version == 3
        await store.put("op", "config", config(route(), version=9))
        await entry.until(lambda: fleet.table.config.version == 9)
        assert not fleet.has_rejected_newer()
