"""A clock for what lapses while its holder may be suspended."""

import time

__all__ = ["boot_time_s"]


def boot_time_s() -> float:
    """Return monotonic time that includes time in suspend, in seconds.

    `time.monotonic` stands still while the machine is suspended, so that a lease or a
    share of a limit would seem valid after it has passed to another process.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
