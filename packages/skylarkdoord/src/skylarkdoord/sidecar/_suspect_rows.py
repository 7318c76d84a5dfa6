"""Suspicions and trials as rows of the table."""

import json
import time
from typing import NamedTuple

from skylarkdoor.clients import Absent, Condition, Put, RevisionIs, Row, Table, Txn
from skylarkdoord.common import Suspicion
from skylarkdoord.exceptions import SuspectRowError

PREFIX = "suspects/"


class Trial(NamedTuple):
    """A run of a suspect alone.

    Attributes:
        holder: The sidecar's life that runs it.
        until: Unix time at which it is over in any case, in seconds.
    """

    holder: str
    until: float


class SuspectRow(NamedTuple):
    """What the table knows of a suspect."""

    crashes: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    trial: Trial | None = None

    def is_tried_by_other(self, holder: str) -> bool:
        """Return whether another life runs the suspect."""
        if self.trial is None or self.trial.holder == holder:
            return False
        return self.trial.until > time.time()


def row_key(fingerprint: int) -> str:
    """Return the key of a suspect's row."""
    return f"{PREFIX}{fingerprint:016x}"


def read_fingerprint(key: str) -> int:
    """Return the fingerprint of a row's key."""
    return int(key.removeprefix(PREFIX), 16)


def decode(value: bytes) -> SuspectRow:
    """Return the suspect of a row's value.

    Raises:
        SuspectRowError: The value is not a suspect.
    """
    try:
        document = json.loads(value)
        trial = document["trial"]
        return SuspectRow(
            crashes=tuple(document["crashes"]),
            cleared=tuple(document["cleared"]),
            trial=None if trial is None else Trial(**trial),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise SuspectRowError(f"not a suspect: {error!r}") from error


def encode(suspect: SuspectRow) -> bytes:
    """Return a suspect as a row's value."""
    trial = None if suspect.trial is None else suspect.trial._asdict()
    return json.dumps(suspect._asdict() | {"trial": trial}).encode()


class SuspectTable:
    """Joins what a sidecar knows of suspects with their rows.

    Args:
        table: The table.
    """

    def __init__(self, table: Table) -> None:
        self.table = table

    async def read(self, fingerprint: int) -> tuple[SuspectRow, Condition]:
        """Return a suspect's row and the condition that it stands unchanged.

        Raises:
            PlatformError: The table cannot be read.
            SuspectRowError: The row is malformed.
        """
        key = row_key(fingerprint)
        row: Row | None = await self.table.get(key)
        if row is None:
            return SuspectRow(), Absent(key)
        return decode(row.value), RevisionIs(key, row.revision)

    async def write(
        self, suspicion: Suspicion, trial: Trial | None, condition: Condition
    ) -> bool:
        """Write a suspect's row; returns whether the condition held.

        Raises:
            PlatformError: The write failed, or may have failed.
        """
        row = SuspectRow(
            crashes=tuple(sorted(suspicion.crashes)),
            cleared=tuple(sorted(suspicion.cleared)),
            trial=trial,
        )
        key = row_key(suspicion.fingerprint)
        txn = Txn((condition,), (Put(key, encode(row)),))
        results = await self.table.commit([txn])
        return results[0].succeeded
