"""The configuration in force and the upstreams that are known."""

import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Adapter, Row, Rows
from skylarkdoord.direct._metrics import CONFIG_VERSION
from skylarkdoord.direct._model import UpstreamRecord
from skylarkdoord.direct._table import RoutingTable
from skylarkdoord.direct.exceptions import (
    FleetUnknownError,
    RowError,
)

CONFIG = "config"
UPSTREAMS = "upstreams"
CONFIG_KEY = "config"


class Held(NamedTuple):
    """A row as last seen, and when.

    Attributes:
        row: The row.
        record: The upstream that it describes; None if removed or unusable.
    """

    row: Row
    record: UpstreamRecord | None


class Missing(NamedTuple):
    """An upstream whose row went while the store could not be relied on.

    Attributes:
        until: Monotonic time until which it may come back, in seconds.
        version: Version of the store that lacks it.
    """

    until: float
    version: int


class Fleet:
    """Applies rows of the store, never an older one over a newer one.

    Rows come from the store and from other entries alike.

    Args:
        adapter: Decodes the rows.
    """

    def __init__(self, adapter: Adapter) -> None:
        self.adapter = adapter
        self.config_row: Row | None = None
        self.routing: RoutingTable | None = None
        self.held: dict[str, Held] = {}
        self.upstreams_version = 0
        self.missing: dict[str, Missing] = {}
        self.on_config: list[Callable[[], None]] = []
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
    def config_version(self) -> int:
        """Store version of the configuration's row; 0 without one."""
        return self.config_row.version if self.config_row else 0

    def upstreams(self, service: str) -> Iterator[UpstreamRecord]:
        """Yield the upstreams of a service that take new work."""
        for held in self.held.values():
            record = held.record
            if record and record.service == service and not record.is_leaving:
                yield record

    def is_current(self, record: UpstreamRecord) -> bool:
        """Return whether this life of an upstream takes new work."""
        held = self.held.get(record.instance)
        if held is None or held.record is None or held.record.is_leaving:
            return False
        return held.record.started_ms == record.started_ms

    def apply_config(self, row: Row, *, source: str) -> None:
        """Bring a configuration into force unless a newer one is."""
        if row.key != CONFIG_KEY or row.data is None:
            return
        if row.version <= self.config_version:
            return
        try:
            config = self.adapter.decode_config(row.data)
        except RowError as error:
            self.log.event(
                _events.ROW_REJECTED, key=row.key, version=row.version, error=str(error)
            )
            return
        if self.routing is not None and config.version <= self.routing.config.version:
            return
        self.config_row = row
        self.routing = RoutingTable(config)
        CONFIG_VERSION.set(config.version)
        self.log.event(
            _events.FLEET_CONFIG_APPLIED,
            version=config.version,
            source=source,
            routes=len(config.routes),
            customers=len(config.customers),
        )
        for callback in self.on_config:
            callback()

    def apply_upstream(self, row: Row, *, source: str) -> None:
        """Take over what a row says of one upstream unless newer is known."""
        before = self.held.get(row.key)
        if before is not None and before.row.version >= row.version:
            return
        record = self.decode(row)
        self.held[row.key] = Held(row, record)
        self.missing.pop(row.key, None)
        self.upstreams_version = max(self.upstreams_version, row.version)
        if before is None or before.record != record:
            self.log.event(
                _events.UPSTREAM_CHANGED,
                upstream=row.key,
                version=row.version,
                source=source,
                service=record.service if record else "",
                state=_state(record),
            )

    def decode(self, row: Row) -> UpstreamRecord | None:
        """Return the upstream of a row; None if removed or unusable."""
        if row.data is None:
            return None
        try:
            return self.adapter.decode_upstream(row.key, row.data)
        except RowError as error:
            self.log.event(
                _events.ROW_REJECTED, key=row.key, version=row.version, error=str(error)
            )
            return None

    def apply_changes(
        self, rows: Rows, *, source: str, return_until: float = 0.0
    ) -> None:
        """Take over changed rows of upstreams.

        Args:
            rows: The rows.
            source: Where they come from, for logs.
            return_until: Monotonic time, in seconds, until which upstreams whose
                rows went may come back; past if they are gone at once.
        """
        for row in rows.rows:
            if row.data is None and return_until > time.monotonic():
                self.miss(row.key, row.version, return_until)
            else:
                self.apply_upstream(row, source=source)
        self.upstreams_version = max(self.upstreams_version, rows.version)
        if rows.rows:
            self.notify()

    def apply_all(self, rows: Rows, *, return_until: float = 0.0) -> None:
        """Take over a full reading; what is absent from it has gone.

        Args:
            rows: All rows.
            return_until: As for `apply_changes`, for upstreams that are absent.
        """
        for row in rows.rows:
            self.apply_upstream(row, source="store")
        self.upstreams_version = max(self.upstreams_version, rows.version)
        present = {row.key for row in rows.rows}
        for key, held in list(self.held.items()):
            if key in present or held.record is None:
                continue
            if return_until > time.monotonic():
                self.miss(key, rows.version, return_until)
            else:
                self.drop(key, rows.version)
        self.notify()

    def miss(self, key: str, version: int, until: float) -> None:
        """Give an upstream some time to come back; one that was leaving is gone."""
        held = self.held.get(key)
        if held is None or held.record is None or held.record.is_leaving:
            self.drop(key, version)
        elif version > held.row.version:
            self.missing.setdefault(key, Missing(until, version))

    def drop(self, key: str, version: int) -> None:
        """Take an upstream as gone."""
        self.apply_upstream(Row(key, version, None), source="absent")

    def drop_missing(self) -> None:
        """Take upstreams as gone that did not come back in time."""
        now = time.monotonic()
        late = {key: gone for key, gone in self.missing.items() if gone.until <= now}
        for key, gone in late.items():
            self.drop(key, gone.version)
            self.missing.pop(key, None)
        if late:
            self.notify()

    def notify(self) -> None:
        """Tell those who listen that upstreams changed."""
        for callback in self.on_upstreams:
            callback()


def _state(record: UpstreamRecord | None) -> str:
    if record is None:
        return "gone"
    return "leaving" if record.is_leaving else "ready"
