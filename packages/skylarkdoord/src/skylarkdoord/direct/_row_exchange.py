"""Rows of the store that entries send each other."""

from collections.abc import Callable

from skylarkdoor.clock import boot_time_s
from skylarkdoor.wire import pb
from skylarkdoord.direct._adapter import Row, StoreVersion
from skylarkdoord.direct._config_requests import SendLimit
from skylarkdoord.direct._fleet import CONFIG, UPSTREAMS, Fleet
from skylarkdoord.direct._fleet_rows import ConfigVersion
from skylarkdoord.direct._missed_news import MissedNews


class RowExchange:
    """Applies rows of other entries and finds those that another entry lacks.

    Args:
        fleet: Holds the rows.
        missed: Receives which changes other entries sent first.
        clock: Returns monotonic time in seconds.

    Attributes:
        send_limit: Bounds how often the configuration is sent.
    """

    def __init__(
        self,
        fleet: Fleet,
        missed: MissedNews,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.fleet = fleet
        self.missed = missed
        self.send_limit = SendLimit(clock)

    def apply(self, rows: list[pb.StoreRow], source: str) -> None:
        """Apply rows that another entry sent.

        Args:
            rows: The rows.
            source: Name of that entry, for logs.
        """
        for sent in rows:
            data = None if sent.removed else sent.data
            row = Row(sent.key, sent.version, data, sent.era)
            is_new = False
            if sent.table == CONFIG:
                self.fleet.apply_config(row, source=source)
                is_new = self.fleet.config_row is row
            elif sent.table == UPSTREAMS:
                self.fleet.apply_upstream(row, source=source)
                cached = self.fleet.cached_rows.get(row.key)
                is_new = cached is not None and cached.row is row
            if is_new:
                self.missed.record(sent.table)
        if rows:
            self.fleet.notify()

    def newer(self, requested: pb.RowsWanted) -> list[pb.StoreRow]:
        """Return the rows that are newer than the versions in a request."""
        rows = []
        config = self.requested_config(requested)
        since = StoreVersion(requested.upstreams_era, requested.upstreams_since)
        if config is not None:
            rows.append(to_wire(CONFIG, config))
        rows += [
            to_wire(UPSTREAMS, cached.row)
            for cached in self.fleet.cached_rows.values()
            if cached.row.changed_at > since
        ]
        return rows

    def requested_config(self, requested: pb.RowsWanted) -> Row | None:
        """Return the configuration's row if a request is to be answered with it.

        An entry of a release that doesn't state the operator's version goes by the
        row's place in the store's history.
        """
        row = self.fleet.config_row
        if row is None or row.data is None:
            return None
        own = self.fleet.config_version
        changed_at = StoreVersion(requested.config_era, requested.config_since)
        number = requested.config_number
        if not number and changed_at != StoreVersion():
            number = own.number
        if own <= ConfigVersion(number, changed_at):
            return None
        return row if self.send_limit.allows(len(row.data)) else None


def to_wire(table: str, row: Row) -> pb.StoreRow:
    """Return a row as a message between entries."""
    return pb.StoreRow(
        table=table,
        key=row.key,
        version=row.version,
        data=row.data or b"",
        removed=row.data is None,
        era=row.era,
    )
