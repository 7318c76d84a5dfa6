"""Claims ensure that a non-idempotent request runs at most once.

An attempt to run a request is an operation. It runs only if it has written the
request's row, the claim, to the table. Whether an operation holds its claim is
decided once, in memory. An abandoned operation never runs, even if its write
succeeds later.
"""

import asyncio
import time
import uuid
from collections.abc import Callable

from aiohttp import web

from skylarkdoor import events
from skylarkdoor.clients import (
    Absent,
    Condition,
    ObjectStore,
    PlatformError,
    Put,
    RevisionIs,
    Row,
    Table,
    TableRejected,
    TableTimeout,
    TableUnavailable,
    Txn,
)
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.common import InternalServer, Platform, TlsService
from skylarkdoord.exceptions import (
    ClaimRowError,
    NotRunError,
    OutcomeUnknownError,
    RefusedError,
)
from skylarkdoord.sidecar._claim_outcomes import Operation, OutcomeWriter
from skylarkdoord.sidecar._claim_rows import (
    ClaimRow,
    ClaimState,
    CompleteAnswer,
    decode,
    encode,
    row_key,
)
from skylarkdoord.sidecar._group_commit import GroupCommit
from skylarkdoord.sidecar._owners import (
    INCARNATION_QUERY,
    WAIT_QUERY,
    HttpOwners,
    Owners,
)
from skylarkdoord.sidecar._scheduler import Scheduler

MAX_CLAIM_ATTEMPTS = 2
STORE_RETRY_AFTER_S = 2.0
STORE_PROBE_INTERVAL_S = 0.5
JOIN_POLL_S = 2.0
STOP_TIMEOUT_S = 10.0


class Claims:
    """Manages this sidecar's operations and queries those of other sidecars.

    Args:
        settings: Settings of this process.
    """

    name = "claims"
    requires: tuple[str, ...] = ("platform", "scheduler", "tls")

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.operations: dict[str, Operation] = {}
        self.store_down = False
        self.log = events.get_logger("sidecar.claims")

    async def start(self, kernel: Kernel) -> None:
        """Start committing to the table and serving queries of other sidecars."""
        platform = kernel.find("platform", Platform)
        scheduler = kernel.find("scheduler", Scheduler)
        scheduler.offer_checks.append(self.refusal_reason)
        incarnation = scheduler.ledger.incarnation
        internal = kernel.find("internal", InternalServer)
        internal.add_route("POST", "/internal/claims/{operation}", self.post_claim)
        self.http_owners = HttpOwners(kernel.find("tls", TlsService))
        self.open(
            kernel, platform.table, platform.objects, self.http_owners, incarnation
        )

    def open(
        self,
        kernel: Kernel,
        table: Table,
        objects: ObjectStore,
        owners: Owners,
        incarnation: int,
    ) -> None:
        """Start committing to the given stores.

        Args:
            kernel: Runs the tasks.
            table: Table of the claims.
            objects: Store of large response bodies.
            owners: Access to the owners of claims.
            incarnation: Number of this incarnation of the process.
        """
        self.kernel = kernel
        self.owners = owners
        self.table = table
        self.objects = objects
        self.incarnation = incarnation
        self.group = GroupCommit(table)
        self.outcome_writer = OutcomeWriter(
            kernel, self.group, objects, self.operations
        )
        kernel.spawn(self.group.run(), name="claims.commit")

    async def stop(self) -> None:
        """Write outstanding outcomes for at most `STOP_TIMEOUT_S`."""
        await self.outcome_writer.flush(timeout_s=STOP_TIMEOUT_S)
        await self.http_owners.close()

    def refusal_reason(self, offer: pb.Offer) -> "pb.RefusalReason | None":
        """Return a reason to refuse non-idempotent offers while the table is down."""
        if self.store_down and not offer.idempotent:
            return pb.REFUSAL_REASON_STORE_DOWN
        return None

    async def acquire(
        self,
        identity: str,
        fingerprint: str,
        *,
        deadline_at: float,
        before_join: Callable[[], None],
    ) -> Operation | ClaimRow:
        """Claim a request, or return the outcome of an earlier run.

        Args:
            identity: Customer and hashed key, as `team/customer/hash`.
            fingerprint: Hash of the call.
            deadline_at: Monotonic time until which to wait for another run, in
                seconds.
            before_join: Called before waiting for another run; the request is not
                run here afterwards.

        Returns:
            The operation that holds the claim, or the row with the outcome of
            an earlier run.

        Raises:
            NotRunError: The request was not run; it may be retried.
            RefusedError: The request must not be run, because the table is down,
                the deadline has passed or the key was used for another call.
            OutcomeUnknownError: The request ran before and its outcome is unknown.
        """
        if self.store_down:
            raise _store_down()
        operation = self._begin(identity, fingerprint)
        try:
            earlier = await self._claim(operation, deadline_at, before_join)
        except (TableTimeout, TableUnavailable) as error:
            self.abandon(operation)
            self._note_store_down(error)
            raise _store_down() from error
        except (TableRejected, ClaimRowError) as error:
            self.abandon(operation)
            raise RefusedError("claim_failed", "the claim is malformed") from error
        except BaseException:
            self.abandon(operation)
            raise
        if earlier is None:
            operation.held = True
            return operation
        self.abandon(operation)
        return earlier

    def finish(self, operation: Operation, answer: CompleteAnswer | None) -> None:
        """Set the outcome of an operation that ran, and write it to the table.

        Args:
            operation: The operation.
            answer: The complete response, None if it was truncated.
        """
        state = ClaimState.UNKNOWN if answer is None else ClaimState.DONE
        operation.end(operation.claim._replace(state=state, answer=answer))
        self.outcome_writer.begin(operation)

    def abandon(self, operation: Operation) -> None:
        """Abandon an operation that was not dispatched and never will be."""
        operation.held = False
        operation.end(operation.claim._replace(state=ClaimState.NOT_RUN))
        if operation.may_be_written:
            self.outcome_writer.begin(operation)
        else:
            self.operations.pop(operation.claim.operation, None)

    async def read_answer(self, claim: ClaimRow) -> CompleteAnswer:
        """Return the stored response of a finished claim.

        Raises:
            OutcomeUnknownError: There is no stored response or it can't be read.
        """
        if claim.answer is None:
            raise OutcomeUnknownError("the answer of the earlier run was lost")
        if not claim.body_object:
            return claim.answer
        try:
            body = await self.objects.get(claim.body_object)
        except PlatformError as error:
            message = "the answer of the earlier run can't be read now"
            raise OutcomeUnknownError(message) from error
        return claim.answer._replace(body=body)

    async def post_claim(self, request: web.Request) -> web.Response:
        """Handle another sidecar's query for the outcome of an operation."""
        if request.query[INCARNATION_QUERY] != str(self.incarnation):
            raise web.HTTPGone
        wait_s = float(request.query[WAIT_QUERY])
        row = await self.find_outcome(request.match_info["operation"], wait_s=wait_s)
        if row is None:
            raise web.HTTPNotFound
        return web.Response(body=encode(row))

    async def find_outcome(
        self, operation_id: str, *, wait_s: float
    ) -> ClaimRow | None:
        """Return the outcome of an operation of this sidecar, or its claim.

        Args:
            operation_id: Identifier of the operation.
            wait_s: Maximum time to wait for the outcome, in seconds.

        Returns:
            The row with the outcome, the claim if the operation still runs, or None
            if it is not known here any more, because its outcome is in the table.
        """
        operation = self.operations.get(operation_id)
        if operation is None:
            return None
        try:
            async with asyncio.timeout(wait_s):
                await operation.ended.wait()
        except TimeoutError:
            pass
        return operation.outcome or operation.claim

    def _begin(self, identity: str, fingerprint: str) -> Operation:
        claim = ClaimRow(
            operation=uuid.uuid4().hex,
            state=ClaimState.CLAIMED,
            fingerprint=fingerprint,
            instance=self.settings.instance,
            address=self.settings.listen.internal,
            incarnation=self.incarnation,
            claimed_at=int(time.time()),
        )
        operation = Operation(row_key(identity), claim)
        self.operations[claim.operation] = operation
        return operation

    async def _claim(
        self,
        operation: Operation,
        deadline_at: float,
        before_join: Callable[[], None],
    ) -> ClaimRow | None:
        condition: Condition = Absent(operation.key)
        while deadline_at > time.monotonic():
            row = await self._write_claim(operation, condition)
            if row is None:
                return None
            found = decode(row.value)
            if found.state is not ClaimState.NOT_RUN:
                _check_same_call(operation.claim, found)
            if found.state is ClaimState.CLAIMED:
                found = await self._find_outcome(operation.key, found, wait_s=0.0)
            if found.state is ClaimState.CLAIMED:
                before_join()
                return await self._join(operation.key, found, deadline_at)
            if found.state is not ClaimState.NOT_RUN:
                return found
            condition = RevisionIs(operation.key, row.revision)
        raise RefusedError(
            "deadline", "the deadline passed before the request could be claimed"
        )

    async def _write_claim(
        self, operation: Operation, condition: Condition
    ) -> Row | None:
        """Write a claim; returns the existing row if the condition doesn't hold."""
        key = operation.key
        txn = Txn((condition,), (Put(key, encode(operation.claim)),), (key,))
        for _ in range(MAX_CLAIM_ATTEMPTS):
            try:
                result = await self.group.commit(txn)
            except TableTimeout:
                operation.may_be_written = True
                continue
            if result.succeeded:
                operation.may_be_written = True
                return None
            if not result.rows:
                raise NotRunError("claim_moved", "the claim was removed concurrently")
            row = result.rows[0]
            is_own = decode(row.value).operation == operation.claim.operation
            return None if is_own else row
        raise TableTimeout("the table did not confirm the claim")

    async def _join(self, key: str, found: ClaimRow, deadline_at: float) -> ClaimRow:
        while (remaining_s := deadline_at - time.monotonic()) > 0:
            row = await self._find_outcome(
                key, found, wait_s=min(JOIN_POLL_S, remaining_s)
            )
            if row.state is ClaimState.NOT_RUN:
                raise NotRunError("claim_released", "the earlier run never began")
            if row.state is not ClaimState.CLAIMED:
                return row
        raise OutcomeUnknownError("the earlier run has not ended yet")

    async def _find_outcome(
        self, key: str, found: ClaimRow, *, wait_s: float
    ) -> ClaimRow:
        """Return the outcome of a claim, or the claim itself if it still runs.

        The owner is queried first and the table if the owner doesn't respond.

        Raises:
            OutcomeUnknownError: The owner is unreachable and stored no outcome.
        """
        row = await self.find_outcome(found.operation, wait_s=wait_s)
        row = row or await self.owners.find_outcome(found, wait_s=wait_s)
        return row or await self._reread(key, found)

    async def _reread(self, key: str, found: ClaimRow) -> ClaimRow:
        try:
            row = await self.table.get(key)
        except PlatformError as error:
            raise OutcomeUnknownError(
                "the owner of the earlier run is unreachable"
            ) from error
        if row is not None:
            current = decode(row.value)
            if current.state is not ClaimState.CLAIMED:
                return current
        self.log.event(_events.CLAIM_ORPHANED, key=key, owner=found.instance)
        raise OutcomeUnknownError("the owner of the earlier run is unreachable")

    def _note_store_down(self, error: Exception) -> None:
        if self.store_down:
            return
        self.store_down = True
        self.log.event(_events.CLAIMS_DOWN, error=str(error))
        self.kernel.spawn(self._probe(), name="claims.probe")

    async def _probe(self) -> None:
        while self.store_down:
            await asyncio.sleep(STORE_PROBE_INTERVAL_S)
            try:
                await self.group.commit(Txn())
                self.store_down = False
            except PlatformError:
                continue
        self.log.event(_events.CLAIMS_UP)


def _check_same_call(claim: ClaimRow, found: ClaimRow) -> None:
    if found.fingerprint != claim.fingerprint:
        raise RefusedError(
            "idempotency_key_reused", "the Idempotency-Key was used for another call"
        )


def _store_down() -> RefusedError:
    return RefusedError(
        "store_down",
        "the request can't be recorded now",
        retry_after_s=STORE_RETRY_AFTER_S,
    )
