"""Measures for how long the event loop does not run."""

import asyncio
import time

from prometheus_client import Gauge

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events

CHECK_INTERVAL_S = 0.25
# Shorter stalls are usual while much work arrives at once.
MIN_LOGGED_STALL_S = 1.0

LOOP_LAG = Gauge(
    "skylarkdoor_event_loop_lag_seconds",
    "Time by which the event loop was late at the latest check.",
)


class LoopMonitor:
    """Service that reports stalls of the event loop, whatever causes them."""

    name = "loop_monitor"
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self.log = events.get_logger("process")

    async def start(self, kernel: Kernel) -> None:
        """Start to measure."""
        kernel.supervise(self.run, name="loop_monitor")

    async def stop(self) -> None:
        """Do nothing; the kernel ends the task."""

    async def run(self) -> None:
        """Measure how late the event loop is until cancelled."""
        while True:
            due = time.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.record(time.monotonic() - due)

    def record(self, lag_s: float) -> None:
        """Record by how many seconds a check was late."""
        LOOP_LAG.set(lag_s)
        if lag_s > MIN_LOGGED_STALL_S:
            self.log.event(_events.LOOP_STALLED, stalled_s=round(lag_s, 3))
