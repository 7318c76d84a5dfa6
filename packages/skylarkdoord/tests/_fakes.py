"""In-memory table with fault modes, and a clock set by the test."""

from collections.abc import Sequence

from skylarkdoor.clients import (
    Absent,
    Condition,
    Delete,
    Put,
    RevisionIs,
    Row,
    RowList,
    TableTimeout,
    TableUnavailable,
    Txn,
    TxnResult,
    ValueIs,
)


class FakeClock:
    """Clock that the test advances."""

    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        """Return the current time."""
        return self.now


class FakeTable:
    """In-memory table with the fault modes `ok`, `down`, `lost_ack` and `stale`.

    With `down` every call fails, with `lost_ack` commits take effect but time out,
    and with `stale` reads return the rows as they were when the mode was set.
    """

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.frozen: dict[str, Row] = {}
        self.frozen_revision = 0
        self.revision = 0
        self.mode = "ok"

    def set_mode(self, mode: str) -> None:
        """Set the fault mode, and save the current rows for stale reads."""
        self.mode = mode
        self.frozen = dict(self.rows)
        self.frozen_revision = self.revision

    async def get(self, key: str) -> Row | None:
        """Return the row of a key, or None."""
        return self._read().get(key)

    async def list(self, prefix: str, *, limit: int = 0) -> RowList:
        """Return the rows whose keys start with a prefix, sorted by key."""
        read = self._read()
        found = tuple(read[key] for key in sorted(read) if key.startswith(prefix))
        is_stale = self.mode == "stale"
        return RowList(found, self.frozen_revision if is_stale else self.revision)

    async def commit(self, txns: Sequence[Txn]) -> Sequence[TxnResult]:
        """Apply transactions and return the result of each."""
        if self.mode == "down":
            raise TableUnavailable("down")
        results = [self._apply(txn) for txn in txns]
        if self.mode == "lost_ack":
            raise TableTimeout("lost")
        return results

    def _read(self) -> dict[str, Row]:
        if self.mode == "down":
            raise TableUnavailable("down")
        return self.frozen if self.mode == "stale" else self.rows

    def _apply(self, txn: Txn) -> TxnResult:
        if not all(self._holds(condition) for condition in txn.conditions):
            found = tuple(self.rows[key] for key in txn.reads if key in self.rows)
            return TxnResult(False, found, self.revision)
        self.revision += 1
        for write in txn.writes:
            self._write(write)
        return TxnResult(True, (), self.revision)

    def _holds(self, condition: Condition) -> bool:
        row = self.rows.get(condition.key)
        match condition:
            case Absent():
                return row is None
            case RevisionIs(_, revision):
                return row is not None and row.revision == revision
            case ValueIs(_, value):
                return row is not None and row.value == value

    def _write(self, write: Put | Delete) -> None:
        previous = self.rows.pop(write.key, None)
        if isinstance(write, Put):
            version = previous.version + 1 if previous else 1
            row = Row(write.key, write.value, self.revision, version)
            self.rows[write.key] = row
