"""Requests that come after the event loop stood still."""

import asyncio

import pytest

from skylarkdoord.direct._catch_up import MAX_WAIT_S, CatchUp


class Age:
    """The age of a configuration that is stale until it is confirmed."""

    def __init__(self):
        self.stale = True

    def is_stale(self):
        """Return whether nobody has vouched for it."""
        return self.stale

    def confirm(self):
        """Vouch for it."""
        self.stale = False
        self.on_confirmed()


@pytest.fixture
def age():
    """Age of a stale configuration."""
    return Age()


class TestCatchUp:
    """`CatchUp`."""

    async def test_recent(self, age):
        """No request waits while the configuration is recent."""
        catch_up = CatchUp(age)
        age.confirm()
        await asyncio.wait_for(catch_up.wait(), MAX_WAIT_S / 2)

    async def test_confirmed(self, age):
        """All requests wait until it is confirmed."""
        catch_up = CatchUp(age)
        waiting = [asyncio.create_task(catch_up.wait()) for _ in range(3)]
        await asyncio.sleep(0)
        assert not any(task.done() for task in waiting)
        age.confirm()
        await asyncio.wait_for(asyncio.gather(*waiting), MAX_WAIT_S / 2)

    # Guards against requests that wait for as long as an entry is cut off.
    async def test_cut_off(self, age):
        """After one has waited in vain, the others don't, until it is confirmed."""
        catch_up = CatchUp(age)
        await catch_up.wait()
        await asyncio.wait_for(catch_up.wait(), MAX_WAIT_S / 2)
        age.confirm()
        age.stale = True
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(catch_up.wait(), MAX_WAIT_S / 2)
