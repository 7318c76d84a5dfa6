"""How long ago the store vouched for the configuration in force.

The store vouches for it with each response about the table of the configuration.
Entries state in their updates when it last did so to themselves, so that only a few of
them have to ask often. What they hear from each other they don't pass on: each time
would add the delay of the network, and among many entries the age would hardly grow.
"""

import math
from collections.abc import Callable

from skylarkdoor import events
from skylarkdoor.clock import boot_time_s
from skylarkdoord import _events
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._metrics import (
    CONFIG_AGE,
    CONFIG_BEHIND,
    CONFIG_NEWEST_VERSION,
)
from skylarkdoord.direct._model import MS_PER_S
from skylarkdoord.direct._pace import MAX_HEARTBEAT_S

# Entries whose watch calls for the configuration are short, so that there is always a
# recent response of the store to pass on.
CLOSE_WATCHERS = 4
# Longest time that the store may hold a watch call of theirs.
CLOSE_WATCH_S = 2.0
# A configuration for which nobody has vouched for longer is no longer known to be the
# newest. With long intervals between updates, the limit grows with the interval.
MIN_STALE_AFTER_S = 3.0
STALE_AFTER_INTERVALS = 1.5
# Shorter lags are usual, as entries learn of a change at different moments.
MIN_LOGGED_LAG_S = 1.0


class ConfigAge:
    """How long ago the store vouched for the configuration in force.

    Args:
        fleet: Holds the configuration in force.
        update_interval_s: Returns the interval between updates of other entries, in
            seconds.
        clock: Returns monotonic time that includes time in suspend, in seconds.

    Attributes:
        answered_at: Monotonic time at which the store last stated this to this entry,
            in seconds; minus infinity if it never did.
        confirmed_at: Monotonic time at which the store last stated, to this or another
            entry, that this configuration is the newest, in seconds; minus infinity if
            it never did.
        heard_at: Monotonic time of the latest such statement to another entry of which
            this one has heard, in seconds; minus infinity if there was none.
        newest: Newest version of which this entry has heard.
        source: Name of the entry that told of it first, or the store's.
        on_confirmed: Called when the store, or another entry for it, has vouched.
        behind_since: Monotonic time since which a newer version than the one in force
            is known, in seconds; None if none is.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        update_interval_s: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.fleet = fleet
        self.update_interval_s = update_interval_s
        self.clock = clock
        self.answered_at = -math.inf
        self.confirmed_at = -math.inf
        self.heard_at = -math.inf
        self.newest = 0
        self.source = ""
        self.on_confirmed: Callable[[], None] = lambda: None
        self.behind_since: float | None = None
        self.is_lag_logged = False
        self.is_stale_logged = False
        self.log = events.get_logger("direct.config_age")
        fleet.on_config.append(self.on_applied)

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self.fleet.config_version.number

    def age_s(self) -> float:
        """Return the time since the store last vouched for it, in seconds."""
        return self.clock() - self.confirmed_at

    def age_ms(self) -> int | None:
        """Return the age for other entries, in milliseconds; None if it is unknown.

        It is the time since the store last answered this entry.
        """
        age_s = self.clock() - self.answered_at
        return int(age_s * MS_PER_S) if math.isfinite(age_s) else None

    def stale_after_s(self) -> float:
        """Return the age above which it may not be the newest, in seconds."""
        interval_s = min(MAX_HEARTBEAT_S, self.update_interval_s())
        grown_s = CLOSE_WATCH_S + STALE_AFTER_INTERVALS * interval_s
        return max(MIN_STALE_AFTER_S, grown_s)

    def is_stale(self) -> bool:
        """Return whether nobody has vouched for it recently."""
        return self.age_s() > self.stale_after_s()

    def relies_on_itself(self) -> bool:
        """Return whether no other entry has vouched for it recently.

        The others may be of a release that doesn't, or have no version in common with
        this entry.
        """
        return self.clock() - self.heard_at > self.stale_after_s()

    def remaining_s(self, since: float) -> float:
        """Return the time until a call of the store has been held for too long.

        It may go on for as long as the configuration is not stale.

        Args:
            since: Monotonic time at which the call began, in seconds.
        """
        return max(since, self.confirmed_at) + self.stale_after_s() - self.clock()

    def on_store_answer(self) -> None:
        """Record that the store has stated every change up to now."""
        if self.fleet.has_rejected_newer():
            return
        self.answered_at = self.confirmed_at = self.clock()
        self.on_confirmed()

    def on_update(
        self, version: int, age_s: float | None, *, sent_at: float, source: str
    ) -> None:
        """Take over what another entry knows.

        Args:
            version: Version that it has in force; 0 if it has none.
            age_s: Time since the store vouched for it, in seconds; None if it never
                did.
            sent_at: Monotonic time at which the update was sent, in seconds.
            source: Name of the other entry.
        """
        if version > self.newest:
            self.newest = version
            self.source = source
        if version > self.version:
            if self.behind_since is None:
                self.behind_since = self.clock()
        elif version == self.version and version and age_s is not None:
            self.heard_at = max(self.heard_at, sent_at - age_s)
            self.confirmed_at = max(self.confirmed_at, self.heard_at)
            self.on_confirmed()

    def on_applied(self) -> None:
        """Record that a configuration has come into force."""
        self.newest = max(self.newest, self.version)
        if self.behind_since is None or self.version < self.newest:
            return
        if self.is_lag_logged:
            self.log.event(
                _events.CONFIG_CAUGHT_UP,
                version=self.version,
                source=self.source,
                behind_s=round(self.clock() - self.behind_since, 3),
            )
        self.behind_since = None
        self.is_lag_logged = False

    def lag_s(self) -> float:
        """Return for how long a newer version has been known, in seconds."""
        return 0.0 if self.behind_since is None else self.clock() - self.behind_since

    def check(self) -> None:
        """Set the gauges, and log that the configuration has become old."""
        CONFIG_AGE.set(self.age_s())
        CONFIG_BEHIND.set(self.lag_s())
        CONFIG_NEWEST_VERSION.set(self.newest)
        if self.lag_s() > MIN_LOGGED_LAG_S and not self.is_lag_logged:
            self.is_lag_logged = True
            self.log.event(
                _events.CONFIG_BEHIND,
                version=self.version,
                newest=self.newest,
                source=self.source,
                age_s=self.logged_age_s(),
            )
        is_stale = self.is_stale()
        if is_stale == self.is_stale_logged:
            return
        self.is_stale_logged = is_stale
        event = _events.CONFIG_STALE if is_stale else _events.CONFIG_CONFIRMED
        self.log.event(event, version=self.version, age_s=self.logged_age_s())

    def logged_age_s(self) -> float | None:
        """Return the age for log lines, in seconds; None if it is not known."""
        age_s = self.age_s()
        return round(age_s, 3) if math.isfinite(age_s) else None
