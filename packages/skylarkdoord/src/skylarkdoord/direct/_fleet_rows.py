"""What is known of rows of the configuration and of upstreams."""

from typing import NamedTuple

from skylarkdoord.direct._adapter import Row, StoreVersion
from skylarkdoord.direct._model import UpstreamRecord


class ConfigVersion(NamedTuple):
    """Order of configurations; a newer one is greater.

    The operator's number decides. A row that the store states later may be of an older
    copy, so its place in the store's history only decides between rows of one number.

    Attributes:
        number: The operator's version; 0 if there is none.
        changed_at: Point in the store's history at which the row was written.
    """

    number: int = 0
    changed_at: StoreVersion = StoreVersion()


class UnusedConfig(NamedTuple):
    """Contents of a row of the configuration that is not in force.

    Attributes:
        data: The contents.
        number: The operator's version; None if the contents can't be decoded.
    """

    data: bytes
    number: int | None


class CachedRow(NamedTuple):
    """The newest row received under a key, with its decoded contents.

    Attributes:
        row: The row.
        record: The upstream that the row describes; None if the row was removed
            or cannot be decoded.
        latest: Newest row that described an upstream; None if there was none.
        has_left: Whether that row was seen to be removed, in whichever era.
    """

    row: Row
    record: UpstreamRecord | None
    latest: Row | None = None
    has_left: bool = False

    @property
    def is_lost(self) -> bool:
        """Whether the row is absent only because the store came back without it."""
        return (
            self.row.data is None
            and self.latest is not None
            and self.row.era > self.latest.era
            and not self.has_left
        )

    def is_left_after(self, row: Row) -> bool:
        """Return whether the upstream has left once a row without a record is applied.

        A removal counts if it is of the era in which the upstream was listed. It is
        written again in later eras, in which that can't be told from a loss.
        """
        if self.has_left or row.data is not None or self.latest is None:
            return self.has_left
        return row.era == self.latest.era


class MissingUpstream(NamedTuple):
    """An upstream whose row was found missing at or shortly after a store outage's end.

    It stays in use for a grace period, in which its row may be written again.

    Attributes:
        until: Monotonic time at which the grace period ends, in seconds.
        absent_at: Point in the store's history at which the row was absent.
    """

    until: float
    absent_at: StoreVersion


def state_of(record: UpstreamRecord | None) -> str:
    """Return the state of an upstream in logs; None stands for one without a record."""
    if record is None:
        return "gone"
    return "leaving" if record.is_draining else "ready"
