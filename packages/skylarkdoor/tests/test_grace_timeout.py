"""Timeouts that don't count the time in which the event loop was busy."""

import asyncio
import time

import pytest

from skylarkdoor.grace_timeout import GRACE_PASSES, GraceTimeout

DELAY_S = 0.05


class TestGraceTimeout:
    """`GraceTimeout`."""

    async def test_silence(self):
        """What never comes is given up soon after the time."""
        began = time.monotonic()
        with pytest.raises(TimeoutError):
            async with GraceTimeout(DELAY_S):
                await asyncio.Event().wait()
        assert time.monotonic() - began >= DELAY_S

    # Guards against timeouts that end what goes on, only because the loop is slow.
    async def test_slow_pass(self):
        """What needs few passes is not given up after a pass that took too long."""
        async with GraceTimeout(DELAY_S):
            time.sleep(2 * DELAY_S)
            for _ in range(GRACE_PASSES - 1):
                await asyncio.sleep(0)

    async def test_cancel(self):
        """A timeout that was cancelled ends nothing."""
        async with GraceTimeout(DELAY_S) as timeout:
            timeout.cancel()
            await asyncio.sleep(2 * DELAY_S)
