"""The other entries, as what they tell shows them."""

import time
from dataclasses import dataclass, field

from skylarkdoor.wire import pb
from skylarkdoord.direct._adapter import Row
from skylarkdoord.direct._crashes import Crashes
from skylarkdoord.direct._fleet import CONFIG, UPSTREAMS, Fleet
from skylarkdoord.direct._model import MS_PER_S
from skylarkdoord.direct._quota import Quota

NEWS_INTERVAL_S = 0.2
# Entries that are told within that interval; with more it is longer.
TOLD_ENTRIES = 8
# An entry that is not heard from for this long does not share the upstreams.
LIVE_S = 2.0
# An entry of which this many news are missed may be cut off.
MISSED_NEWS = 3.5
# For this long an entry that fell silent is taken to go on using its share.
SILENT_S = 30.0
# Versions that others hold longer than this were missed by this entry's watch.
BEHIND_S = 0.3


@dataclass
class Member:
    """Another entry.

    Attributes:
        instance: Its name.
        incarnation: Its life, drawn anew at each start.
        heard_at: Monotonic time of its last news, in seconds.
        has_left: Whether it ended its stream rather than fell silent.
        used: Units that it said it admitted, by customer.
        config_version: Version of the configuration's row that it holds.
        upstreams_version: Newest version of upstreams' rows that it holds.
        behind_since: Monotonic time since which it holds newer rows; 0 if not.
    """

    instance: str
    incarnation: int = 0
    heard_at: float = 0.0
    has_left: bool = False
    used: dict[str, float] = field(default_factory=dict)
    config_version: int = 0
    upstreams_version: int = 0
    behind_since: float = 0.0


class Members:
    """The other entries, as their news show them.

    Args:
        instance: Name of this entry.
        fleet: Takes newer rows.
        quota: Is charged with what the others use.
        crashes: Takes over what the others suspect.
    """

    def __init__(
        self, instance: str, fleet: Fleet, quota: Quota, crashes: Crashes
    ) -> None:
        self.instance = instance
        self.crashes = crashes
        self.fleet = fleet
        self.quota = quota
        self.known: dict[str, Member] = {}
        self.started = time.monotonic()

    def live(self) -> int:
        """Return how many entries share the upstreams, this one included."""
        since = time.monotonic() - LIVE_S
        return 1 + sum(member.heard_at > since for member in self.known.values())

    def position(self) -> int:
        """Return how many of the entries that are heard come before this one by name.

        Entries share out by it what only some have to do.
        """
        since = time.monotonic() - LIVE_S
        return sum(
            member.heard_at > since and name < self.instance
            for name, member in self.known.items()
        )

    def news_interval_s(self) -> float:
        """Return how often entries speak to each other, in seconds."""
        return NEWS_INTERVAL_S * max(1.0, len(self.known) / TOLD_ENTRIES)

    def silent(self) -> tuple[int, int]:
        """Return how many entries may be cut off, and how many there are in all."""
        now = time.monotonic()
        quiet_s = MISSED_NEWS * self.news_interval_s()
        present = [
            member
            for member in self.known.values()
            if not member.has_left and now - member.heard_at < SILENT_S
        ]
        silent = sum(now - member.heard_at > quiet_s for member in present)
        return silent, 1 + len(present)

    def age_ms(self) -> int:
        """Return the time since this entry's start, in milliseconds."""
        return int((time.monotonic() - self.started) * MS_PER_S)

    def receive(self, news: pb.EntryNews) -> None:
        """Take over what another entry tells."""
        member = self.known.get(news.instance)
        if member is None or member.incarnation != news.incarnation:
            member = self.meet(news)
        member.heard_at = time.monotonic()
        member.has_left = False
        for customer, units in news.used.items():
            before = member.used.get(customer, 0.0)
            if units != before:
                self.quota.charge(customer, units - before)
                member.used[customer] = units
        self.crashes.merge(news.suspects)
        member.config_version = news.config_version
        member.upstreams_version = news.upstreams_version

    def meet(self, news: pb.EntryNews) -> Member:
        """Begin to follow an entry, or a new life of one.

        From an entry that is older than this one, this one learns what all have
        used of late, its own former life included.
        """
        member = Member(news.instance, news.incarnation)
        self.known[news.instance] = member
        if news.age_ms >= self.age_ms():
            member.used = dict(news.used)
            self.quota.take_over(news.totals, knows_past=news.knows_past)
        return member

    def lose(self, instance: str, *, is_silent: bool) -> None:
        """Note that an entry's stream ended."""
        member = self.known.get(instance)
        if member is not None:
            member.has_left = not is_silent

    def is_behind(self, instance: str) -> bool:
        """Return whether an entry has held newer rows for some time."""
        member = self.known.get(instance)
        if member is None:
            return False
        newer = (
            member.config_version > self.fleet.config_version
            or member.upstreams_version > self.fleet.upstreams_version
        )
        now = time.monotonic()
        if not newer:
            member.behind_since = 0.0
        elif not member.behind_since:
            member.behind_since = now
        return newer and now - member.behind_since >= BEHIND_S

    def take_rows(self, rows: list[pb.StoreRow], source: str) -> None:
        """Take over rows that another entry sent."""
        for sent in rows:
            row = Row(sent.key, sent.version, None if sent.removed else sent.data)
            if sent.table == CONFIG:
                self.fleet.apply_config(row, source=source)
            elif sent.table == UPSTREAMS:
                self.fleet.apply_upstream(row, source=source)
        if rows:
            self.fleet.notify()

    def newer_rows(self, wanted: pb.RowsWanted) -> list[pb.StoreRow]:
        """Return the rows that are newer than what another entry holds."""
        rows = []
        config = self.fleet.config_row
        if config is not None and config.version > wanted.config_since:
            rows.append(to_wire(CONFIG, config))
        rows += [
            to_wire(UPSTREAMS, held.row)
            for held in self.fleet.held.values()
            if held.row.version > wanted.upstreams_since
        ]
        return rows


def to_wire(table: str, row: Row) -> pb.StoreRow:
    """Return a row as entries send it to each other."""
    return pb.StoreRow(
        table=table,
        key=row.key,
        version=row.version,
        data=row.data or b"",
        removed=row.data is None,
    )
