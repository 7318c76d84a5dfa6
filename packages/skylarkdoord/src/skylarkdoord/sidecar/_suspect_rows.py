"""Storage of suspects and their trials as rows of the table."""

import json
import time
from typing import NamedTuple

from skylarkdoor import untrusted_json
from skylarkdoor.clients import Absent, Condition, Put, RevisionIs, Row, Table, Txn
from skylarkdoord.common import Suspicion
from skylarkdoord.exceptions import SuspectRowError

PREFIX = "suspects/"


class Trial(NamedTuple):
    """An exclusive run of a suspect, to find out whether it crashes the upstream.

    Attributes:
        holder: Instance and incarnation of the sidecar that runs it.
        until: Unix time at which the trial expires, in seconds.
    """

    holder: str
    until: float


class SuspectRow(NamedTuple):
    """Row of a suspect.

    Attributes:
        crashes: Identifiers of the crashes attributed to the request.
        cleared: Identifiers of the crashes that no longer count.
        trial: The running trial, if any.
    """

    crashes: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    trial: Trial | None = None

    def is_tried_by_another(self, holder: str) -> bool:
        """Return whether another sidecar or incarnation is running the suspect."""
        if self.trial is None or self.trial.holder == holder:
            return False
        return self.trial.until > time.time()


def row_key(fingerprint: int) -> str:
    """Return the row key of a suspect."""
    return f"{PREFIX}{fingerprint:016x}"


def read_fingerprint(key: str) -> int:
    """Return the fingerprint contained in a row key."""
    return int(key.removeprefix(PREFIX), 16)


def decode(value: bytes) -> SuspectRow:
    """Decode a suspect from a row value.

    Raises:
        SuspectRowError: The value is not a valid suspect.
    """
    try:
        document = untrusted_json.loads(value)
        trial = document["trial"]
        return SuspectRow(
            crashes=tuple(document["crashes"]),
            cleared=tuple(document["cleared"]),
            trial=None if trial is None else Trial(**trial),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise SuspectRowError(f"invalid suspect row: {error!r}") from error


def encode(suspect: SuspectRow) -> bytes:
    """Encode a suspect as a row value."""
    trial = None if suspect.trial is None else suspect.trial._asdict()
    return json.dumps(suspect._asdict() | {"trial": trial}).encode()


class SuspectTable:
    """Reads and writes the rows of suspects.

    Args:
        table: The table.
    """

    def __init__(self, table: Table) -> None:
        self.table = table

    async def read(self, fingerprint: int) -> tuple[SuspectRow, Condition]:
        """Return a suspect's row and the condition that it is unchanged.

        Raises:
            PlatformError: The table can't be read.
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
        """Write a suspect's row if the condition holds; returns whether it did.

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
