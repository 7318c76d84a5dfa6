"""Another entry of the deployment, as its updates describe it."""

import math
from dataclasses import dataclass, field

from skylarkdoor.wire import pb
from skylarkdoord.direct._adapter import StoreVersion
from skylarkdoord.direct._fleet_rows import ConfigVersion
from skylarkdoord.direct._model import MS_PER_S

# Time after which the fastest update is sought anew, by the age of the entry that sends
# them. Updates that wait in a buffer while this process is suspended span less.
FASTEST_PERIOD_MS = 60_000


@dataclass
class Member:
    """Another entry, as its updates describe it.

    Attributes:
        instance: Name of the entry.
        incarnation: Random number that the entry chose at its start.
        last_update_at: Monotonic time of its last update, in seconds.
        sent_at: Monotonic time at which that update was sent, in seconds, estimated
            by the fastest update of the entry in this period and the one before.
        fastest_s: Smallest difference between the time of receipt and the entry's age
            in an update of this period, in seconds.
        former_fastest_s: That of the period before.
        period_ms: Age of the entry at which this period began, in milliseconds.
        versions: Versions of services that it has told, by service.
        answered_at: Monotonic time at which the store last vouched to it for its
            configuration, in seconds; minus infinity if it told of no such time.
        several: Services of which it has told that they had several versions.
        has_closed_stream: Whether its stream was closed rather than timed out.
        used: Units that it reported as used since its start, by customer.
        config: Version of its configuration.
        upstreams_at: Latest point in the store's history of its upstreams' rows.
        behind_since: Monotonic time at which the entry last began to state newer rows
            of upstreams than this process has, in seconds.
    """

    instance: str
    incarnation: int = 0
    last_update_at: float = 0.0
    sent_at: float = 0.0
    fastest_s: float = math.inf
    former_fastest_s: float = math.inf
    period_ms: int = 0
    answered_at: float = -math.inf
    versions: dict[str, set[str]] = field(default_factory=dict)
    several: set[str] = field(default_factory=set)
    has_closed_stream: bool = False
    used: dict[str, float] = field(default_factory=dict)
    config: ConfigVersion = field(default_factory=ConfigVersion)
    upstreams_at: StoreVersion = field(default_factory=StoreVersion)
    behind_since: float = 0.0

    def on_update(self, update: pb.EntryNews, now: float) -> None:
        """Record when an update was sent and which versions it tells.

        An update may have waited in a buffer while this process was suspended. The
        clocks of two machines run at slightly different rates, and that of a virtual
        machine stands still while it is moved, so a difference holds for a while only.

        Args:
            update: The update.
            now: Monotonic time of its receipt, in seconds.
        """
        self.last_update_at = self.sent_at = now
        self.has_closed_stream = False
        if update.age_ms:
            difference_s = now - update.age_ms / MS_PER_S
            if update.age_ms - self.period_ms >= FASTEST_PERIOD_MS:
                self.former_fastest_s, self.fastest_s = self.fastest_s, math.inf
                self.period_ms = update.age_ms
            self.fastest_s = min(self.fastest_s, difference_s)
            fastest_s = min(self.fastest_s, self.former_fastest_s)
            self.sent_at = now - (difference_s - fastest_s)
        if update.HasField("config_age_ms"):
            self.answered_at = self.sent_at - update.config_age_ms / MS_PER_S
        for service in update.history:
            self.versions.setdefault(service.service, set()).update(service.versions)
            if service.several:
                self.several.add(service.service)

    def knows(self, service: str, version: str) -> bool:
        """Return whether the entry knows a version, or that there are several."""
        return service in self.several or version in self.versions.get(service, ())
