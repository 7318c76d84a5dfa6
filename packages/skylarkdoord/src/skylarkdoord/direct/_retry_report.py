"""Logs the requests and retries of each service, to be summed over all entries."""

import asyncio
import time
from dataclasses import replace

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord._retry_limiter import RetryCounts, RetryLimiter

REPORT_INTERVAL_S = 1.0


class RetryReport:
    """Logs a line each second for each service that had retries within the window.

    Args:
        limiter: Counts the requests and retries.

    Attributes:
        reported: Counts up to the latest line, by service.
        retried_at: Monotonic time of the latest retry that was decided upon, sent or
            waiting, by service, in seconds.
    """

    name = "retry_report"
    requires: tuple[str, ...] = ()

    def __init__(self, limiter: RetryLimiter) -> None:
        self.limiter = limiter
        self.reported: dict[str, RetryCounts] = {}
        self.retried_at: dict[str, float] = {}
        self.log = events.get_logger("direct.retries")

    async def start(self, kernel: Kernel) -> None:
        """Start to log."""
        kernel.supervise(self.run, name="retry_report")

    async def stop(self) -> None:
        """Do nothing; the kernel ends the task."""

    async def run(self) -> None:
        """Log the counts each second until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            for service, bucket in self.limiter.buckets.items():
                self.report(service, bucket.counts, time.monotonic())

    def report(self, service: str, counts: RetryCounts, now: float) -> None:
        """Log the counts since the latest line if there were retries lately.

        Args:
            service: The service.
            counts: Its counts since the start.
            now: Monotonic time, in seconds.
        """
        before = self.reported.get(service, RetryCounts())
        self.reported[service] = replace(counts)
        retries = (counts.approved, counts.refused, counts.sent)
        if counts.waiting or retries != (before.approved, before.refused, before.sent):
            self.retried_at[service] = now
        window_s = self.limiter.budget.window_s
        retried_at = self.retried_at.get(service)
        if retried_at is None or now - retried_at >= window_s:
            return
        self.log.event(
            _events.RETRIES_COUNTED,
            service=service,
            requests=counts.requests - before.requests,
            approved=counts.approved - before.approved,
            refused=counts.refused - before.refused,
            sent=counts.sent - before.sent,
            waiting=counts.waiting,
            entries=self.limiter.shared_by,
        )
