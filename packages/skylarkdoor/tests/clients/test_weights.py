"""Tests of the weight store's client against the platform stand-in."""

import pytest

from skylarkdoor.clients import WeightsLimited, WeightStore, WeightsUnavailable


class TestWeightStore:
    """`WeightStore`."""

    async def test_limit(self, platform):
        """The error of a fetch above the rate limit has a retry delay."""
        store = WeightStore(platform.session, [platform.url])
        assert b"garden-7b" in await store.fetch("garden-7b")
        with pytest.raises(WeightsLimited) as caught:
            await store.fetch("garden-7b")
        assert caught.value.retry_after >= 1

    async def test_down(self, platform):
        """An outage raises `WeightsUnavailable`."""
        await platform.fault("weights", mode="down")
        with pytest.raises(WeightsUnavailable):
            await WeightStore(platform.session, [platform.url]).fetch("a")
