"""Output of log lines that never blocks and is bounded under load."""

import logging
import os
import select
import time
from collections.abc import Callable

LINES_PER_S = 400.0
BURST_LINES = 2000.0
# Part of the burst that is kept for warnings and errors.
RESERVED_SHARE = 0.5
# A pipe that is ready takes this much without blocking.
MAX_LINE_BYTES = select.PIPE_BUF
NOTICE_INTERVAL_S = 1.0


class BoundedOutput(logging.Handler):
    """Writes lines to a file descriptor, or drops and counts them.

    Lines are dropped when there are too many, ordinary ones before warnings, and
    when the reader does not keep up.

    Args:
        descriptor: Where to write.
        on_dropped: Called with the number of lines dropped since the last call,
            at most once a second; it logs them.
        clock: Monotonic time in seconds.
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
        self.filled_at = clock()
        self.dropped = 0
        self.told_at = clock()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or count it as dropped."""
        if not self.is_affordable(record.levelno) or not self.write(record):
            self.dropped += 1
            return
        self.budget -= 1
        self.tell_dropped()

    def is_affordable(self, level: int) -> bool:
        """Return whether a line of that level may be written now."""
        now = self.clock()
        filled = self.budget + (now - self.filled_at) * LINES_PER_S
        self.budget = min(BURST_LINES, filled)
        self.filled_at = now
        reserved = 0.0 if level >= logging.WARNING else BURST_LINES * RESERVED_SHARE
        return self.budget >= reserved + 1

    def write(self, record: logging.LogRecord) -> bool:
        """Write a record's line if the reader has room; returns whether it had."""
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if len(line) > MAX_LINE_BYTES or not self.is_writable():
            return False
        try:
            return os.write(self.descriptor, line) == len(line)
        except OSError:
            # Nobody reads any more; the count tells it if somebody does again.
            return False

    def is_writable(self) -> bool:
        """Return whether a line can be written without blocking."""
        return any(events & select.POLLOUT for _, events in self.poll.poll(0))

    def tell_dropped(self) -> None:
        """Tell, now and then, how many lines were dropped."""
        now = self.clock()
        if not self.dropped or now - self.told_at < NOTICE_INTERVAL_S:
            return
        dropped, self.dropped, self.told_at = self.dropped, 0, now
        self.on_dropped(dropped)
