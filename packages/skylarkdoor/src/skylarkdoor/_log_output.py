"""Log output that never blocks and is limited in rate."""

import logging
import os
import select
import time
from collections.abc import Callable

# Sustained rate of log lines, and how many lines may exceed it in a burst.
LINES_PER_S = 400.0
BURST_LINES = 2000.0
# Share of the burst that is reserved for warnings and errors.
RESERVED_SHARE = 0.5
# A pipe that polls as writable accepts this many bytes without blocking.
MAX_LINE_BYTES = select.PIPE_BUF
DROP_REPORT_INTERVAL_S = 1.0


class BoundedOutput(logging.Handler):
    """Logging handler that writes lines to a file descriptor without blocking.

    A line is dropped and counted if the rate limit is exceeded, if the reader does
    not keep up, or if the line is longer than `MAX_LINE_BYTES`. Lines below the
    warning level reach the rate limit first.

    Args:
        descriptor: File descriptor to write to.
        on_dropped: Logs the number of lines dropped since its last call; called
            at most once per `DROP_REPORT_INTERVAL_S`.
        clock: Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        on_dropped: Callable[[int], None],
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.on_dropped = on_dropped
        self.clock = clock
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)
        self.budget = BURST_LINES
        self.refilled_at = clock()
        self.dropped = 0
        self.reported_at = clock()

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of a record, or count it as dropped."""
        if not self.is_within_rate(record.levelno) or not self.write(record):
            self.dropped += 1
            return
        self.budget -= 1
        self.report_dropped()

    def is_within_rate(self, level: int) -> bool:
        """Return whether the rate limit admits a line of this level now."""
        now = self.clock()
        filled = self.budget + (now - self.refilled_at) * LINES_PER_S
        self.budget = min(BURST_LINES, filled)
        self.refilled_at = now
        reserved = 0.0 if level >= logging.WARNING else BURST_LINES * RESERVED_SHARE
        return self.budget >= reserved + 1

    def write(self, record: logging.LogRecord) -> bool:
        """Write the line of a record; return whether it was written in full."""
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if len(line) > MAX_LINE_BYTES or not self.is_writable():
            return False
        try:
            return os.write(self.descriptor, line) == len(line)
        except OSError:
            # The reader has closed its end. The line counts as dropped and is reported
            # if another reader opens the file.
            return False

    def is_writable(self) -> bool:
        """Return whether the descriptor accepts a line without blocking."""
        return any(events & select.POLLOUT for _, events in self.poll.poll(0))

    def report_dropped(self) -> None:
        """Report the number of dropped lines, at most once per interval."""
        now = self.clock()
        if not self.dropped or now - self.reported_at < DROP_REPORT_INTERVAL_S:
            return
        dropped, self.dropped, self.reported_at = self.dropped, 0, now
        self.on_dropped(dropped)
