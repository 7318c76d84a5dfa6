"""Heartbeat intervals that bound the heartbeats of all streams of a process.

Entries and guards have a stream for each pair of them, as do entries among each other,
so heartbeats at a fixed interval grow with the product of their numbers.
"""

import time
from collections.abc import Callable

# Interval of heartbeats to guards with up to `SHORTEST_INTERVAL_ENTRIES` entries.
HEARTBEAT_S = 1.0
# With more entries than this, the interval grows in proportion to their number.
SHORTEST_INTERVAL_ENTRIES = 24
MAX_HEARTBEAT_S = 3.0
# Interval between entries, in intervals of their updates, which serve as heartbeats.
HEARTBEAT_UPDATES = 1.25
# A stream without a message from the peer for this many intervals has timed out.
SILENCE_INTERVALS = 2.6
MAX_SILENCE_S = SILENCE_INTERVALS * MAX_HEARTBEAT_S


def guard_heartbeat_s(entries: int) -> float:
    """Return the interval between entries and guards, in seconds.

    Args:
        entries: Number of entries with streams to the guards.
    """
    interval_s = HEARTBEAT_S * entries / SHORTEST_INTERVAL_ENTRIES
    return min(MAX_HEARTBEAT_S, max(HEARTBEAT_S, interval_s))


def entry_heartbeat_s(update_interval_s: float) -> float:
    """Return the interval between entries, in seconds.

    Args:
        update_interval_s: Interval of the updates to the other entries, in seconds.
    """
    interval_s = HEARTBEAT_UPDATES * update_interval_s
    return min(MAX_HEARTBEAT_S, max(HEARTBEAT_S, interval_s))


class Pace:
    """How often a process sends heartbeats, and how long it waits for those of peers.

    A peer may see more entries than this process and send less often. The silence
    timeout therefore goes by the longest interval so far, and is at its maximum after a
    start.

    Args:
        interval_s: Returns the present interval of heartbeats, in seconds.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        interval_s: Callable[[], float],
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.interval_s = interval_s
        self.clock = clock
        self.started = clock()
        self.longest_interval_s = 0.0

    def heartbeat_s(self) -> float:
        """Return the longest time between two messages to a peer, in seconds."""
        return self.interval_s()

    def silence_timeout_s(self) -> float:
        """Return the time without a message after which a peer is lost, in seconds."""
        self.longest_interval_s = max(self.longest_interval_s, self.interval_s())
        if self.clock() - self.started < MAX_SILENCE_S:
            return MAX_SILENCE_S
        return SILENCE_INTERVALS * self.longest_interval_s
