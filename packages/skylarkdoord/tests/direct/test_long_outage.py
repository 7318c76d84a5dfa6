"""Tests of `FleetWatcher` over an outage that lasts many calls."""

import asyncio

import pytest

from skylarkdoor.tasks import end_tasks
from skylarkdoord.direct._fleet import CONFIG, UPSTREAMS, Fleet
from skylarkdoord.direct._watch import FleetWatcher
from skylarkdoord.direct.exceptions import StoreError

from .test_fleet import Settings, StubAdapter, StubStore, rows

# A float can't hold two to the power of this number.
FAILURES = 1100


class TestLongOutage:
    """`FleetWatcher.watch`."""

    # Guards against an entry that ends by itself as the store stays away for minutes.
    @pytest.mark.parametrize("table", [CONFIG, UPSTREAMS])
    async def test_many_failures(self, table, virtual_time):
        """The watch goes on however often the store has failed."""
        store = StubStore(*[StoreError("down")] * FAILURES, rows(9))
        watcher = FleetWatcher(Settings(), Fleet(StubAdapter()), store)
        task = asyncio.create_task(watcher.watch(table))
        done = asyncio.create_task(store.done.wait())
        await asyncio.wait({task, done}, return_when=asyncio.FIRST_COMPLETED)
        await end_tasks([task, done])
        assert store.calls[-1] == ("changes", table, 9)
        assert task.cancelled()
