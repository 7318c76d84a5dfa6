"""Keeps the configuration in force and the rows of all upstreams."""

import time
from collections import deque
from collections.abc import Callable, Iterator

from skylarkdoor import events
from skylarkdoor.failures import reason
from skylarkdoord import _events
from skylarkdoord._listeners import call_all
from skylarkdoord.direct._adapter import Adapter, Row, Rows, StoreVersion
from skylarkdoord.direct._fleet_rows import (
    CachedRow,
    ConfigVersion,
    MissingUpstream,
    UnusedConfig,
    state_of,
)
from skylarkdoord.direct._metrics import (
    CONFIG_REJECTED,
    CONFIG_UNREAD_PARTS,
    CONFIG_VERSION,
)
from skylarkdoord.direct._model import FleetConfig, UpstreamRecord
from skylarkdoord.direct._table import RoutingTable
from skylarkdoord.direct.exceptions import (
    FleetUnknownError,
    RowError,
)

CONFIG = "config"
UPSTREAMS = "upstreams"
CONFIG_KEY = "config"
MAX_LOGGED_PROBLEMS = 10
# Rows of the configuration whose rejection is remembered.
MAX_REJECTED_CONFIGS = 16


class Fleet:
    """Applies rows and never replaces a newer row by an older one.

    Rows come from the store and from other entries.

    Args:
        adapter: Decodes rows.

    Attributes:
        config_row: Row of the configuration in force; None if none was received.
        routing: Routing table of that configuration; None if none was received.
        unused_config: The latest configuration that was not put in force, kept so that
            the same contents are decoded once; None if there was none.
        rejected_configs: Points in the store's history of rows that can't be decoded,
            received since a row of the configuration in force.
        cached_rows: Newest row of each upstream, by key; removed ones are kept.
        is_read: Whether the whole table of upstreams has been read.
        latest_at: Upstream that started last at each address, also if it was removed.
        upstreams_at: Latest point in the store's history up to which rows were applied.
        missing: Upstreams in their grace period, by key.
        on_config: Called in order after the configuration has changed.
        on_rejected: Called after a configuration could not be decoded.
        on_upstreams: Called in order after upstreams may have changed.
    """

    def __init__(self, adapter: Adapter) -> None:
        self.adapter = adapter
        self.config_row: Row | None = None
        self.routing: RoutingTable | None = None
        self.unused_config: UnusedConfig | None = None
        self.rejected_configs: deque[StoreVersion] = deque(maxlen=MAX_REJECTED_CONFIGS)
        self.cached_rows: dict[str, CachedRow] = {}
        self.is_read = False
        self.latest_at: dict[str, UpstreamRecord] = {}
        self.upstreams_at = StoreVersion()
        self.missing: dict[str, MissingUpstream] = {}
        self.on_config: list[Callable[[], None]] = []
        self.on_rejected: Callable[[], None] = lambda: None
        self.on_upstreams: list[Callable[[], None]] = []
        self.log = events.get_logger("direct.fleet")

    @property
    def table(self) -> RoutingTable:
        """The routing table in force.

        Raises:
            FleetUnknownError: No configuration is known yet.
        """
        if self.routing is None:
            raise FleetUnknownError("no configuration is known yet")
        return self.routing

    @property
    def config_at(self) -> StoreVersion:
        """Point in the store's history at which the configuration was written."""
        return self.config_row.changed_at if self.config_row else StoreVersion()

    @property
    def config_version(self) -> ConfigVersion:
        """Version of the configuration in force, to compare it with others."""
        number = self.routing.config.version if self.routing else 0
        return ConfigVersion(number, self.config_at)

    def upstreams(self, service: str) -> Iterator[UpstreamRecord]:
        """Yield the upstreams of a service that accept new requests."""
        for cached in self.cached_rows.values():
            record = cached.record
            if record and record.service == service and not record.is_draining:
                yield record

    def find(self, instance: str) -> UpstreamRecord | None:
        """Return the record of an upstream; None if none is listed."""
        cached = self.cached_rows.get(instance)
        return cached.record if cached else None

    def occupant(self, address: str) -> UpstreamRecord | None:
        """Return the upstream that started last at an address; None if none did."""
        return self.latest_at.get(address)

    def is_current(self, record: UpstreamRecord) -> bool:
        """Return whether this incarnation of an upstream accepts new requests."""
        listed = self.find(record.instance)
        if listed is None or listed.is_draining:
            return False
        return listed.started_ms == record.started_ms

    def apply_config(self, row: Row, *, source: str) -> None:
        """Put a configuration in force unless the current one is as new or newer.

        The operator's version decides, so that a store that comes back from an older
        copy changes nothing.

        Args:
            row: The configuration's row.
            source: Origin of the row, for logs.
        """
        if row.key != CONFIG_KEY or row.data is None or self.is_known_config(row):
            return
        try:
            config = self.adapter.decode_config(row.data)
        except Exception as error:
            self.reject_config(row, row.data, error)
            return
        if ConfigVersion(config.version, row.changed_at) <= self.config_version:
            self.unused_config = UnusedConfig(row.data, config.version)
            return
        self.set_config_row(row)
        if self.routing is None or config != self.routing.config:
            self.put_in_force(config, source)

    def reject_config(self, row: Row, data: bytes, error: Exception) -> None:
        """Record that a configuration can't be decoded.

        Args:
            row: The configuration's row.
            data: Its contents.
            error: What is wrong with them.
        """
        self.unused_config = UnusedConfig(data, None)
        if row.changed_at not in self.rejected_configs:
            self.rejected_configs.append(row.changed_at)
        CONFIG_REJECTED.set(self.has_rejected_newer())
        self.log.event(
            _events.CONFIG_REJECTED, version=row.version, error=_problem(error)
        )
        self.on_rejected()

    def retry_config(self, row: Row, *, source: str) -> None:
        """Apply the configuration's row, also if its contents were rejected before.

        Args:
            row: The configuration's row.
            source: Origin of the row, for logs.
        """
        if row.key == CONFIG_KEY and row.changed_at in self.rejected_configs:
            self.unused_config = None
        self.apply_config(row, source=source)

    def is_known_config(self, row: Row) -> bool:
        """Return whether a row changes nothing, without decoding its contents.

        A row that has the contents in force only changes when they were written last.
        """
        current, unused = self.config_row, self.unused_config
        if current is not None and row.data == current.data:
            if row.changed_at > current.changed_at:
                self.set_config_row(row)
            return True
        if unused is not None and row.data == unused.data:
            return self.is_unused(unused.number, row.changed_at)
        # Within an era, rows are written in the order of the operator's versions.
        return (
            current is not None
            and row.era == current.era
            and row.version <= current.version
        )

    def is_unused(self, number: int | None, changed_at: StoreVersion) -> bool:
        """Return whether contents that were not put in force stay unused.

        Args:
            number: The operator's version; None if the contents can't be decoded.
            changed_at: Point in the store's history of a row with these contents.
        """
        if number is not None:
            return ConfigVersion(number, changed_at) <= self.config_version
        if changed_at not in self.rejected_configs:
            self.rejected_configs.append(changed_at)
        return True

    def has_rejected_newer(self) -> bool:
        """Return whether a later row of the configuration can't be decoded."""
        return any(point > self.config_at for point in self.rejected_configs)

    def set_config_row(self, row: Row) -> None:
        """Replace the row of the configuration in force."""
        self.config_row = row
        self.rejected_configs.clear()
        CONFIG_REJECTED.set(0)

    def put_in_force(self, config: FleetConfig, source: str) -> None:
        """Replace the configuration in force and call the listeners."""
        self.routing = RoutingTable(config)
        CONFIG_VERSION.set(config.version)
        self.log.event(
            _events.FLEET_CONFIG_APPLIED,
            version=config.version,
            source=source,
            routes=len(config.routes),
            customers=len(config.customers),
        )
        self.report_problems(config)
        call_all(self.on_config)

    def report_problems(self, config: FleetConfig) -> None:
        """Show which parts of the configuration in force could not be read."""
        CONFIG_UNREAD_PARTS.set(len(config.problems))
        if config.problems:
            self.log.event(
                _events.CONFIG_PART_REJECTED,
                version=config.version,
                parts=len(config.problems),
                errors=config.problems[:MAX_LOGGED_PROBLEMS],
            )

    def apply_upstream(self, row: Row, *, source: str) -> None:
        """Apply the row of one upstream unless the cached row is as new or newer.

        Args:
            row: The upstream's row.
            source: Origin of the row, for logs.
        """
        previous = self.cached_rows.get(row.key)
        self.upstreams_at = max(self.upstreams_at, row.changed_at)
        if previous is not None and self.is_outdated(row, previous):
            return
        record = self.decode(row)
        latest = row if record is not None else previous and previous.latest
        has_left = previous and record is None and previous.is_left_after(row)
        self.cached_rows[row.key] = CachedRow(row, record, latest, bool(has_left))
        self.missing.pop(row.key, None)
        if record is not None:
            self.add_occupant(record)
        if previous is None or previous.record != record:
            self.log.event(
                _events.UPSTREAM_CHANGED,
                upstream=row.key,
                version=row.version,
                source=source,
                service=record.service if record else "",
                state=state_of(record),
            )

    def add_occupant(self, record: UpstreamRecord) -> None:
        """Record that an upstream has its address, unless a later one took it over."""
        latest = self.latest_at.get(record.address)
        if latest is None or record.started_ms >= latest.started_ms:
            self.latest_at[record.address] = record

    def is_outdated(self, row: Row, cached: CachedRow) -> bool:
        """Return whether a row is older than the one that is cached under its key.

        A row of a later era may come from the older copy of the store. Then the
        upstream's own count of its reports decides.
        """
        if row.era <= cached.row.era:
            return row.changed_at <= cached.row.changed_at
        latest = cached.latest.data if cached.latest else None
        if row.data is None or latest is None or row.data == cached.row.data:
            return False
        try:
            age = self.adapter.upstream_age(row.data)
            latest_age = self.adapter.upstream_age(latest)
        except Exception:
            # `decode` reports a malformed row, which names no upstream.
            return False
        return age < latest_age if cached.is_lost else age <= latest_age

    def decode(self, row: Row) -> UpstreamRecord | None:
        """Decode an upstream's row; None if it was removed or cannot be decoded."""
        if row.data is None:
            return None
        try:
            return self.adapter.decode_upstream(row.key, row.data)
        except Exception as error:
            # Whatever is wrong with one row, the others hold.
            self.log_rejected(row, error)
            return None

    def log_rejected(self, row: Row, error: Exception) -> None:
        """Log that a row can't be decoded."""
        self.log.event(
            _events.ROW_REJECTED,
            key=row.key,
            version=row.version,
            error=_problem(error),
        )

    def apply_changes(
        self, rows: Rows, *, source: str, grace_until: float = 0.0
    ) -> None:
        """Apply changed rows of upstreams.

        Args:
            rows: The changed rows.
            source: Origin of the rows, for logs.
            grace_until: Monotonic time, in seconds, until which upstreams whose
                rows were removed stay in use; a time in the past removes them at
                once.
        """
        for row in rows.rows:
            if row.data is None and grace_until > time.monotonic():
                self.mark_missing(row.key, row.changed_at, grace_until)
            else:
                self.apply_upstream(row, source=source)
        self.upstreams_at = max(self.upstreams_at, rows.read_at)
        if rows.rows:
            self.notify()

    def apply_snapshot(self, rows: Rows, *, grace_until: float = 0.0) -> None:
        """Apply a complete read of the table; upstreams without a row are removed.

        Args:
            rows: All rows.
            grace_until: Monotonic time, in seconds, until which upstreams without a
                row stay in use; a time in the past removes them at once.
        """
        for row in rows.rows:
            self.apply_upstream(row, source="store")
        self.upstreams_at = max(self.upstreams_at, rows.read_at)
        present = {row.key for row in rows.rows}
        for key, cached in list(self.cached_rows.items()):
            if key in present or cached.record is None:
                continue
            if grace_until > time.monotonic():
                self.mark_missing(key, rows.read_at, grace_until)
            else:
                self.remove(key, rows.read_at)
        self.is_read = True
        self.notify()

    def mark_missing(self, key: str, absent_at: StoreVersion, until: float) -> None:
        """Start the grace period of an upstream; one that was draining is removed.

        Args:
            key: Key of the upstream's row.
            absent_at: Point in the store's history at which the row was absent.
            until: Monotonic time at which the grace period ends, in seconds.
        """
        cached = self.cached_rows.get(key)
        if cached is None or cached.record is None or cached.record.is_draining:
            self.remove(key, absent_at)
        elif absent_at > cached.row.changed_at:
            self.missing.setdefault(key, MissingUpstream(until, absent_at))

    def remove(self, key: str, absent_at: StoreVersion) -> None:
        """Mark an upstream as removed as of a point in the store's history."""
        row = Row(key, absent_at.number, None, absent_at.era)
        self.apply_upstream(row, source="absent")

    def remove_expired(self) -> None:
        """Remove the missing upstreams whose grace period has ended."""
        now = time.monotonic()
        expired = {
            key: upstream
            for key, upstream in self.missing.items()
            if upstream.until <= now
        }
        for key, upstream in expired.items():
            self.remove(key, upstream.absent_at)
            self.missing.pop(key, None)
        if expired:
            self.notify()

    def notify(self) -> None:
        """Call the listeners for changes of upstreams."""
        call_all(self.on_upstreams)


def _problem(error: Exception) -> str:
    return str(error) if isinstance(error, RowError) else reason(error)
