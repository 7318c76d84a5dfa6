"""Keeps the latest order of a roll-out of each service."""

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Adapter, OrderedVersion, Row
from skylarkdoord.direct.exceptions import RowError
from skylarkdoord.direct.rollouts import RolloutOrder

# Most former rows of a service that are remembered. An older copy of the store may
# contain one of them.
MAX_FORMER_ROWS = 64


class RolloutOrders:
    """Orders, from the store's rows and from the decisions of other entries.

    Args:
        adapter: Decodes rows.

    Attributes:
        latest: Latest order of each service.
    """

    def __init__(self, adapter: Adapter) -> None:
        self.adapter = adapter
        self.latest: dict[str, RolloutOrder] = {}
        self.seen: dict[str, dict[tuple[int, bytes], int]] = {}
        self.rejected: dict[str, tuple[int, int]] = {}
        self.log = events.get_logger("direct.rollouts")

    def take_row(self, row: Row) -> RolloutOrder | None:
        """Take over a row of the configuration's table.

        Returns:
            The order if it is newer than the latest; None for any other row.
        """
        if row.data is None:
            return None
        try:
            ordered = self.adapter.decode_rollout(row.key, row.data)
        except RowError as error:
            self.reject(row, error)
            return None
        if ordered is None or self.is_of_older_copy(row, row.data):
            return None
        order = _to_order(ordered, row)
        former = self.latest.get(order.service)
        if former is not None and order.ordered_at <= former.ordered_at:
            return None
        if former is not None and is_same(former, order):
            return None
        self.latest[order.service] = order
        return order

    def reject(self, row: Row, error: RowError) -> None:
        """Log a malformed order, once for each of its versions."""
        if self.rejected.get(row.key) != row.changed_at:
            self.rejected[row.key] = row.changed_at
            self.log.event(
                _events.ROW_REJECTED, key=row.key, version=row.version, error=str(error)
            )

    def is_of_older_copy(self, row: Row, data: bytes) -> bool:
        """Return whether a row was seen in an earlier era of the store.

        Such a row came back with an older copy and is no new order.
        """
        seen = self.seen.setdefault(row.key, {})
        first_era = seen.setdefault((row.version, data), row.era)
        while len(seen) > MAX_FORMER_ROWS:
            del seen[next(iter(seen))]
        return first_era < row.era

    def take(self, order: RolloutOrder) -> None:
        """Take over an order that a decision states, if it is newer or the same.

        Where an entry started after the store came back from an older copy, it reads
        an order in another era than the entries that knew it before.
        """
        former = self.latest.get(order.service)
        if (
            former is None
            or order.ordered_at > former.ordered_at
            or is_same(former, order)
        ):
            self.latest[order.service] = order


def is_same(first: RolloutOrder, second: RolloutOrder) -> bool:
    """Return whether two orders are the same row, perhaps read in different eras."""
    return (
        first.version == second.version
        and first.duration_s == second.duration_s
        and first.ordered_at.number == second.ordered_at.number
    )


def _to_order(ordered: OrderedVersion, row: Row) -> RolloutOrder:
    return RolloutOrder(
        ordered.service, ordered.version, ordered.duration_s, row.changed_at
    )
