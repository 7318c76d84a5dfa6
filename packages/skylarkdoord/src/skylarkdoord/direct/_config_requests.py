"""Requests a newer configuration from another entry, and bounds the answers.

Each entry reads the configuration from the store. One that misses a change hears from
the updates of the others that it is behind. A configuration may have tens of kilobytes,
so it is requested from one entry at a time.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from skylarkdoor.clock import boot_time_s
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._fleet_rows import ConfigVersion
from skylarkdoord.direct._member import Member

# Time for this entry's own watch of the store to return the newer configuration.
LAG_TOLERANCE_S = 0.3
# Time after which another entry is asked.
ANSWER_TIMEOUT_S = 0.7
# Rate at which an entry sends its configuration to others, below that of a link of
# 5 Mbit/s, which it shares with requests.
SEND_BYTES_PER_S = 500_000
# No further configuration is sent while those before take longer than this.
MAX_SEND_BACKLOG_S = 0.5


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Drop the call."""


class Peer(Protocol):
    """An open stream to another entry."""

    def request_config(self) -> None:
        """Request the configuration of the other entry."""


def call_later(delay_s: float, call: Callable[[], None]) -> Timer:
    """Let the running event loop make a call after a delay, in seconds."""
    return asyncio.get_running_loop().call_later(delay_s, call)


class ConfigRequests:
    """Requests a newer configuration of which another entry has told.

    Args:
        fleet: Holds the configuration in force.
        members: The other entries by name, as their updates describe them.
        peers: Open streams by name of the other entry.
        call_later: Makes a call after a delay, in seconds.

    Attributes:
        timer: Time of the next request; None while no newer configuration is known.
        asked: Entries asked since the configuration in force changed.
    """

    def __init__(
        self,
        fleet: Fleet,
        members: Mapping[str, Member],
        peers: Mapping[str, Peer],
        *,
        call_later: Callable[[float, Callable[[], None]], Timer] = call_later,
    ) -> None:
        self.fleet = fleet
        self.members = members
        self.peers = peers
        self.call_later = call_later
        self.timer: Timer | None = None
        self.asked: set[str] = set()
        fleet.on_config.append(self.on_config)

    def on_update(self, instance: str) -> None:
        """Plan a request if another entry's update tells of a newer configuration."""
        if self.timer is None and self.is_source(instance):
            self.timer = self.call_later(LAG_TOLERANCE_S, self.on_due)

    def on_config(self) -> None:
        """Begin anew, as another configuration is in force."""
        self.stop()
        self.asked.clear()
        if self.sources():
            self.timer = self.call_later(LAG_TOLERANCE_S, self.on_due)

    def on_due(self) -> None:
        """Request the configuration unless this entry has it by now.

        Without an open stream to an entry that has it, the next update is awaited.
        """
        self.timer = None
        sources = self.sources()
        if not sources:
            self.asked.clear()
            return
        if self.asked.issuperset(sources):
            self.asked.clear()
        instance = self.choose([name for name in sources if name not in self.asked])
        self.asked.add(instance)
        self.timer = self.call_later(ANSWER_TIMEOUT_S, self.on_due)
        self.peers[instance].request_config()

    def sources(self) -> list[str]:
        """Return the entries with a newer configuration that can be asked."""
        return [name for name in self.peers if self.is_source(name)]

    def is_source(self, instance: str) -> bool:
        """Return whether another entry has a newer configuration that this one takes.

        One that this entry can't decode is not requested again.
        """
        member = self.members.get(instance)
        return (
            member is not None
            and self.is_newer(member.config)
            and member.config.changed_at not in self.fleet.rejected_configs
        )

    def is_newer(self, config: ConfigVersion) -> bool:
        """Return whether another entry's configuration is newer than the one in force.

        An entry of a former release does not state the operator's version. Within an
        era, rows are written in the order of these versions.
        """
        changed_at = config.changed_at
        if not config.number and changed_at.era == self.fleet.config_at.era:
            return changed_at > self.fleet.config_at
        return config > self.fleet.config_version

    def choose(self, sources: list[str]) -> str:
        """Return one of the entries that have the newest configuration."""
        newest = max(self.members[name].config for name in sources)
        return random.choice(
            [name for name in sources if self.members[name].config == newest]
        )

    def stop(self) -> None:
        """Cancel the next request."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class SendLimit:
    """Bounds how much of its link an entry uses to send its configuration.

    Those that get no answer ask another entry, which may have it by then.

    Args:
        clock: Returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        self.clock = clock
        self.busy_until = 0.0

    def allows(self, size: int) -> bool:
        """Return whether to send a configuration now, and count it if so.

        Args:
            size: Length of the configuration's row, in bytes.
        """
        now = self.clock()
        begins = max(now, self.busy_until)
        if begins - now > MAX_SEND_BACKLOG_S:
            return False
        self.busy_until = begins + size / SEND_BYTES_PER_S
        return True
