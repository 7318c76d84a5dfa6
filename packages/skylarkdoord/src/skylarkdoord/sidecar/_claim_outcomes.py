"""Writes the outcomes of operations to the table, retrying until stored."""

import asyncio
from dataclasses import dataclass, field

from skylarkdoor import events, invariants
from skylarkdoor.clients import (
    Absent,
    Condition,
    ObjectStore,
    PlatformError,
    Put,
    RevisionIs,
    Row,
    TableTimeout,
    Txn,
    ValueIs,
)
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord.common import Backoff
from skylarkdoord.exceptions import ClaimRowError
from skylarkdoord.sidecar._claim_rows import ClaimRow, ClaimState, decode, encode
from skylarkdoord.sidecar._group_commit import GroupCommit

# Larger response bodies are written to the object store.
MAX_ROW_BODY_BYTES = 64 * 1024

CLAIM_KEPT = invariants.define(
    "claim_kept", "The claim of a dispatched request is replaced only by its result."
)


@dataclass
class Operation:
    """One attempt to run a request.

    Attributes:
        key: Key of the request's row.
        claim: The row that it writes to claim the request.
        may_be_written: Whether the claim is in the table or may still be written.
        held: Whether the operation holds the claim and may be dispatched.
        outcome: The row with its outcome, once it has ended.
        ended: Set when it has ended.
    """

    key: str
    claim: ClaimRow
    may_be_written: bool = False
    held: bool = False
    outcome: ClaimRow | None = None
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def end(self, outcome: ClaimRow) -> None:
        """Set the final outcome."""
        assert self.outcome is None
        self.outcome = outcome
        self.ended.set()


class OutcomeWriter:
    """Writes the outcomes of operations to the table, with one task for each.

    Args:
        kernel: Runs the tasks.
        group: Commits to the table.
        objects: Stores response bodies too large for a row.
        operations: Operations by identifier; each is removed once its outcome is
            stored.
    """

    def __init__(
        self,
        kernel: Kernel,
        group: GroupCommit,
        objects: ObjectStore,
        operations: dict[str, Operation],
    ) -> None:
        self.kernel = kernel
        self.group = group
        self.objects = objects
        self.operations = operations
        self.tasks: set[asyncio.Task[None]] = set()
        self.log = events.get_logger("sidecar.claims")

    def begin(self, operation: Operation) -> None:
        """Start a task that writes the outcome of an operation."""
        name = f"claim {operation.claim.operation}"
        task = self.kernel.spawn(self.write(operation), name=name)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def flush(self, *, timeout_s: float) -> None:
        """Wait at most `timeout_s` seconds until all outcomes are written."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)

    async def write(self, operation: Operation) -> None:
        """Write an operation's outcome, retrying until it is stored."""
        backoff = Backoff()
        while True:
            try:
                await self._write_once(operation)
                break
            except (PlatformError, ClaimRowError) as error:
                self.log.event(
                    _events.CLAIM_WRITE_FAILED, key=operation.key, error=str(error)
                )
            await asyncio.sleep(backoff.delay_s())
        self.operations.pop(operation.claim.operation, None)

    async def _write_once(self, operation: Operation) -> None:
        assert operation.outcome is not None
        key = operation.key
        outcome = await self._store_large_body(operation.outcome)
        value = encode(outcome)
        claimed = ValueIs(key, encode(operation.claim))
        result = await self.group.commit(Txn((claimed,), (Put(key, value),), (key,)))
        if result.succeeded:
            return
        row = result.rows[0] if result.rows else None
        if outcome.state is ClaimState.NOT_RUN:
            await self._block_late_write(operation, row, value)
            return
        written = row is not None and row.value == value
        invariants.check(CLAIM_KEPT, written, key=key)

    async def _block_late_write(
        self, operation: Operation, row: Row | None, value: bytes
    ) -> None:
        """Prevent a late write of an abandoned claim from succeeding.

        A claim is written only if the row is absent or is a `NOT_RUN` row of a
        known revision. Replacing such a row makes the late write fail; any other
        row makes it fail already.
        """
        key = operation.key
        condition: Condition = Absent(key)
        if row is not None:
            if decode(row.value).state is not ClaimState.NOT_RUN or row.value == value:
                return
            condition = RevisionIs(key, row.revision)
        result = await self.group.commit(Txn((condition,), (Put(key, value),), (key,)))
        if not result.succeeded:
            raise TableTimeout("the row was changed concurrently")

    async def _store_large_body(self, outcome: ClaimRow) -> ClaimRow:
        answer = outcome.answer
        if answer is None or len(answer.body) <= MAX_ROW_BODY_BYTES:
            return outcome
        name = f"answers/{outcome.operation}"
        await self.objects.put(name, answer.body)
        return outcome._replace(answer=answer._replace(body=b""), body_object=name)
