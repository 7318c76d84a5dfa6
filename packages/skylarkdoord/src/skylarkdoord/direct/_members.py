"""Tracks the other entries from the updates that they send.

A member is another entry of the deployment.
"""

import random
from collections.abc import Callable

from skylarkdoor.clock import boot_time_s
from skylarkdoor.hashing import rendezvous
from skylarkdoor.wire import pb
from skylarkdoord.direct._adapter import StoreVersion
from skylarkdoord.direct._config_age import ConfigAge
from skylarkdoord.direct._config_requests import LAG_TOLERANCE_S
from skylarkdoord.direct._fleet import CONFIG, Fleet
from skylarkdoord.direct._fleet_rows import ConfigVersion
from skylarkdoord.direct._member import Member
from skylarkdoord.direct._missed_news import MissedNews
from skylarkdoord.direct._model import MS_PER_S
from skylarkdoord.direct._pace import MAX_HEARTBEAT_S
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._row_exchange import RowExchange
from skylarkdoord.direct._upstream_limits import UpstreamLimits
from skylarkdoord.direct.evidence import Crashes
from skylarkdoord.direct.streams import StreamVersions

UPDATE_INTERVAL_S = 0.2
# With more other entries than this, the interval grows in proportion to their number,
# which bounds the updates that each entry receives.
FULL_RATE_ENTRIES = 8
# An entry that sent no update for this long, or for this many intervals if that is
# longer, gets no share of the upstreams.
LIVE_TIMEOUT_S = 2.0
LIVE_INTERVALS = 2.0
# Update intervals without an update after which an entry may be partitioned.
MISSED_UPDATES = 3.5
# An entry that stopped sending updates is assumed to go on using its share of the
# customers' limits for this long.
SILENT_RETENTION_S = 30.0
MAX_INCARNATION = 2**63


class Members:
    """The other entries, as their updates describe them.

    Args:
        instance: Name of this entry.
        fleet: Receives the rows that other entries send.
        quota: Is charged with the units that other entries use.
        crashes: Receives the crash suspicions of other entries.
        limits: Receives the limits of upstreams of which other entries know.
        streams: Receives the versions of streams that other entries know.
        age: Receives how recent the configurations of other entries are.
        missed: Receives which changes other entries sent first.
        incarnation: Random number that identifies this run of the entry.
        clock: Returns monotonic time that includes time in suspend, in seconds.

    Attributes:
        rows: The rows that entries send each other.
        by_name: The other entries that sent an update.
        started: Monotonic time of this entry's start, in seconds.
        listed: Number of other entries that the store listed at the start.
    """

    def __init__(
        self,
        instance: str,
        fleet: Fleet,
        quota: Quota,
        crashes: Crashes,
        limits: UpstreamLimits | None = None,
        streams: StreamVersions | None = None,
        *,
        age: ConfigAge | None = None,
        missed: MissedNews | None = None,
        incarnation: int = 0,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.clock = clock
        self.instance = instance
        self.incarnation = incarnation or random.randrange(1, MAX_INCARNATION)
        self.crashes = crashes
        self.limits = limits or UpstreamLimits(instance)
        self.streams = streams or StreamVersions(fleet)
        self.age = age or ConfigAge(fleet, clock=clock)
        self.missed = missed or MissedNews(clock)
        self.fleet = fleet
        self.quota = quota
        self.rows = RowExchange(fleet, self.missed, clock)
        self.by_name: dict[str, Member] = {}
        self.started = self.clock()
        self.listed = 0

    def live_count(self) -> int:
        """Return how many entries share the upstreams, including this one."""
        since = self.clock() - self.live_timeout_s()
        return 1 + sum(
            member.last_update_at > since for member in self.by_name.values()
        )

    def sharing_count(self) -> int:
        """Return how many entries may use a budget for all, including this one.

        An entry that cannot be reached may go on using its part, so it counts until
        `SILENT_RETENTION_S` after its last update or, if it was listed but never
        reached, after the start of this entry.
        """
        since = self.clock() - SILENT_RETENTION_S
        heard = sum(member.last_update_at > since for member in self.by_name.values())
        listed = self.listed if self.started > since else 0
        return 1 + max(heard, listed)

    def position(self) -> int:
        """Return how many live entries precede this one in the order of names.

        It decides which entries do the work that only a few of them need to do.
        """
        since = self.clock() - self.live_timeout_s()
        return sum(
            member.last_update_at > since and name < self.instance
            for name, member in self.by_name.items()
        )

    def owns(self, fingerprint: int) -> bool:
        """Return whether this entry, of the live ones, is responsible for a request."""
        live = self.live_entries()
        return rendezvous(str(fingerprint), [*live, self.instance]) == [self.instance]

    def watches_closely(self, count: int) -> bool:
        """Return whether this entry is one that watches the configuration closely.

        They are chosen by hashes of their names, so they are of all data centres. Those
        that the store does not answer, or of a release that doesn't tell, do not count.

        Args:
            count: Number of live entries that do.
        """
        others = self.live_entries()
        if not self.fleet.has_rejected_newer():
            since = self.clock() - self.age.stale_after_s()
            others = [name for name in others if self.by_name[name].answered_at > since]
        chosen = rendezvous(CONFIG, [*others, self.instance], count=count)
        return self.instance in chosen

    def live_entries(self) -> list[str]:
        """Return the names of the other live entries."""
        since = self.clock() - self.live_timeout_s()
        return [
            name
            for name, member in self.by_name.items()
            if member.last_update_at > since
        ]

    def limit_share(self, upstream: str, most: int) -> float:
        """Return this entry's part of an upstream's limit, from 0 to 1.

        The limit is divided among a few entries, as each may send one request at once.
        An entry that can't be reached keeps its part for `SILENT_RETENTION_S`.

        Args:
            upstream: Name of the upstream instance.
            most: Most entries that divide the limit.
        """
        now = self.clock()
        others = []
        for name, member in self.by_name.items():
            retention_s = (
                self.live_timeout_s()
                if member.has_closed_stream
                else SILENT_RETENTION_S
            )
            if now - member.last_update_at < retention_s:
                others.append(name)
        sharing = rendezvous(upstream, [*others, self.instance], count=most)
        if self.instance not in sharing:
            return 0.0
        listed = self.listed if now - self.started < SILENT_RETENTION_S else 0
        return 1.0 / max(len(sharing), min(most, 1 + listed))

    def live_timeout_s(self) -> float:
        """Return the time without an update until an entry gets no share."""
        interval_s = min(MAX_HEARTBEAT_S, self.update_interval_s())
        return max(LIVE_TIMEOUT_S, LIVE_INTERVALS * interval_s)

    def update_interval_s(self) -> float:
        """Return the interval between updates to the other entries, in seconds."""
        return UPDATE_INTERVAL_S * max(1.0, len(self.by_name) / FULL_RATE_ENTRIES)

    def silent_entries(self) -> tuple[int, int]:
        """Return how many entries may be partitioned, and how many there are in all."""
        now = self.clock()
        timeout_s = MISSED_UPDATES * self.update_interval_s()
        present = [
            member
            for member in self.by_name.values()
            if not member.has_closed_stream
            and now - member.last_update_at < SILENT_RETENTION_S
        ]
        silent = sum(now - member.last_update_at > timeout_s for member in present)
        return silent, 1 + len(present)

    def learns_versions(self, *, is_registry_down: bool) -> bool:
        """Return whether this entry learns of new versions of upstreams at present.

        Either the registry or another entry has to tell them, and no entry may use a
        version without being heard. An entry whose stream was closed may still run.

        Args:
            is_registry_down: Whether this entry can't read the registry.
        """
        since = self.clock() - self.version_timeout_s()
        recent = self.recent()
        if len(recent) < self.listed and self.is_young():
            return False
        if any(member.sent_at < since for member in recent):
            return False
        return not is_registry_down or not self.by_name or self.live_count() > 1

    def version_timeout_s(self) -> float:
        """Return the age of an entry's latest update up to which versions are known."""
        return MISSED_UPDATES * self.update_interval_s()

    def all_know(self, service: str, version: str) -> bool:
        """Return whether all entries know a version of a service, as they have told."""
        recent = self.recent()
        if len(recent) < self.listed and self.is_young():
            return False
        return all(member.knows(service, version) for member in recent)

    def recent(self) -> list[Member]:
        """Return the entries that may still run, whether or not they can be reached."""
        since = self.clock() - SILENT_RETENTION_S
        return [
            member for member in self.by_name.values() if member.last_update_at > since
        ]

    def is_young(self) -> bool:
        """Return whether entries that were listed at the start may not be heard yet."""
        return self.clock() - self.started < SILENT_RETENTION_S

    def age_ms(self) -> int:
        """Return the time since this entry's start, in milliseconds."""
        return int((self.clock() - self.started) * MS_PER_S)

    def receive(self, update: pb.EntryNews) -> None:
        """Apply an update of another entry; rows are applied separately."""
        member = self.by_name.get(update.instance)
        if member is None or member.incarnation != update.incarnation:
            member = self.add(update)
        member.on_update(update, self.clock())
        for customer, units in update.used.items():
            before = member.used.get(customer, 0.0)
            if units != before:
                self.quota.charge(customer, units - before)
                member.used[customer] = units
        self.crashes.merge(update.suspects)
        self.limits.merge(update.limits, update.instance)
        self.streams.history.merge(
            update.history, update.instance, is_complete=update.history_complete
        )
        self.streams.merge(update.streams)
        self.streams.history.check_pending()
        member.config = ConfigVersion(
            update.config_number,
            StoreVersion(update.config_era, update.config_version),
        )
        was_behind = member.upstreams_at > self.fleet.upstreams_at
        member.upstreams_at = StoreVersion(
            update.upstreams_era, update.upstreams_version
        )
        if not was_behind:
            member.behind_since = self.clock()
        self.age.on_update(
            update.config_number,
            update.config_age_ms / MS_PER_S
            if update.HasField("config_age_ms")
            else None,
            sent_at=member.sent_at,
            source=update.instance,
        )

    def add(self, update: pb.EntryNews) -> Member:
        """Add an entry, or replace it by its new incarnation.

        An entry that started before this one provides the totals that all entries
        have used within the window, including previous incarnations of this one.
        """
        member = Member(update.instance, update.incarnation)
        self.by_name[update.instance] = member
        if update.age_ms >= self.age_ms():
            member.used = dict(update.used)
            self.quota.merge_totals(
                update.totals,
                covers_window=update.knows_past,
                includes_own=update.included_incarnation == self.incarnation,
            )
        return member

    def incarnation_of(self, instance: str) -> int:
        """Return the incarnation of an entry that was heard of, 0 if none was."""
        member = self.by_name.get(instance)
        return member.incarnation if member else 0

    def on_stream_end(self, instance: str, *, is_silent: bool) -> None:
        """Record how an entry's stream ended.

        Args:
            instance: Name of the entry.
            is_silent: Whether the stream timed out rather than was closed.
        """
        member = self.by_name.get(instance)
        if member is not None:
            member.has_closed_stream = not is_silent

    def is_behind(self, member: Member) -> bool:
        """Return whether another entry has had newer rows of upstreams for some time.

        This entry's own watch of the store should have returned them.
        """
        if member.upstreams_at <= self.fleet.upstreams_at:
            return False
        return self.clock() - member.behind_since >= LAG_TOLERANCE_S

    def rows_wanted(self, instance: str, *, wants_config: bool) -> pb.RowsWanted | None:
        """Return the request for rows to send to another entry; None if there is none.

        Args:
            instance: Name of the other entry.
            wants_config: Whether its configuration is requested, if it is newer.
        """
        member = self.by_name.get(instance)
        if member is None or not (wants_config or self.is_behind(member)):
            return None
        config = self.fleet.config_version if wants_config else member.config
        return pb.RowsWanted(
            config_number=config.number,
            config_since=config.changed_at.number,
            config_era=config.changed_at.era,
            upstreams_since=self.fleet.upstreams_at.number,
            upstreams_era=self.fleet.upstreams_at.era,
        )
