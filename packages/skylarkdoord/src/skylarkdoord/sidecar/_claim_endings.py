"""Writes what became of operations to the table, until it stands there."""

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
        may_land: Whether its claim stands in the table or may come to.
        held: Whether it holds the claim.
        ending: What became of it, once it ended.
        ended: Set once it ended.
    """

    key: str
    claim: ClaimRow
    may_land: bool = False
    held: bool = False
    ending: ClaimRow | None = None
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def end(self, ending: ClaimRow) -> None:
        """Note what became of it, once and for all."""
        assert self.ending is None
        self.ending = ending
        self.ended.set()


class EndingWriter:
    """Writes the endings of operations, each by a task of its own.

    Args:
        kernel: Runs the tasks.
        group: Commits to the table.
        objects: Takes answers too large for a row.
        operations: Operations by identity; one leaves once its ending stands.
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
        """Begin to write the ending of an operation."""
        name = f"claim {operation.claim.operation}"
        task = self.kernel.spawn(self.write(operation), name=name)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def flush(self, *, timeout_s: float) -> None:
        """Wait for the endings that are not written yet, for a bounded time."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)

    async def write(self, operation: Operation) -> None:
        """Write an operation's ending until the table has it."""
        backoff = Backoff()
        while True:
            try:
                await self._try(operation)
                break
            except (PlatformError, ClaimRowError) as error:
                self.log.event(
                    _events.CLAIM_WRITE_FAILED, key=operation.key, error=str(error)
                )
            await asyncio.sleep(backoff.delay_s())
        self.operations.pop(operation.claim.operation, None)

    async def _try(self, operation: Operation) -> None:
        assert operation.ending is not None
        key = operation.key
        ending = await self._outsource(operation.ending)
        value = encode(ending)
        claimed = ValueIs(key, encode(operation.claim))
        result = await self.group.commit(Txn((claimed,), (Put(key, value),), (key,)))
        if result.succeeded:
            return
        row = result.rows[0] if result.rows else None
        if ending.state is ClaimState.NOT_RUN:
            await self._bar(operation, row, value)
            return
        written = row is not None and row.value == value
        invariants.check(CLAIM_KEPT, written, key=key)

    async def _bar(self, operation: Operation, row: Row | None, value: bytes) -> None:
        """Make sure that an abandoned claim that has not landed never does.

        A claim lands only on an absent row or on the revision of a row that
        says not run, so both are replaced; any other row bars it already.
        """
        key = operation.key
        condition: Condition = Absent(key)
        if row is not None:
            if decode(row.value).state is not ClaimState.NOT_RUN or row.value == value:
                return
            condition = RevisionIs(key, row.revision)
        result = await self.group.commit(Txn((condition,), (Put(key, value),), (key,)))
        if not result.succeeded:
            raise TableTimeout("the row changed meanwhile")

    async def _outsource(self, ending: ClaimRow) -> ClaimRow:
        answer = ending.answer
        if answer is None or len(answer.body) <= MAX_ROW_BODY_BYTES:
            return ending
        name = f"answers/{ending.operation}"
        await self.objects.put(name, answer.body)
        return ending._replace(answer=answer._replace(body=b""), body_object=name)
