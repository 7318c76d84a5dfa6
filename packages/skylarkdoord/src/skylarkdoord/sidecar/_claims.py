"""Claims that let a non-idempotent request run at most once.

An attempt to run a request is an operation. It runs only while it holds the
request's row in the table. An operation is decided once, in memory: it holds
its claim, or it is abandoned and never runs, even if its write lands later.
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
from skylarkdoord.sidecar._claim_endings import EndingWriter, Operation
from skylarkdoord.sidecar._claim_rows import (
    ClaimRow,
    ClaimState,
    WholeAnswer,
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

CLAIM_TRIES = 2
STORE_RETRY_AFTER_S = 2.0
STORE_PROBE_INTERVAL_S = 0.5
JOIN_POLL_S = 2.0
STOP_TIMEOUT_S = 10.0


class Claims:
    """Holds this sidecar's operations and asks others for theirs.

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
        """Begin to commit and answer the questions of other sidecars."""
        platform = kernel.find("platform", Platform)
        scheduler = kernel.find("scheduler", Scheduler)
        scheduler.objectors.append(self.objection)
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
        """Begin to commit to the stores in this life of the process."""
        self.kernel = kernel
        self.owners = owners
        self.table = table
        self.objects = objects
        self.incarnation = incarnation
        self.group = GroupCommit(table)
        self.endings = EndingWriter(kernel, self.group, objects, self.operations)
        kernel.spawn(self.group.run(), name="claims.commit")

    async def stop(self) -> None:
        """Write what is not written yet, for a bounded time."""
        await self.endings.flush(timeout_s=STOP_TIMEOUT_S)
        await self.http_owners.close()

    def objection(self, offer: pb.Offer) -> "pb.RefusalReason | None":
        """Return why an offer may not wait: its claim could not be written."""
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
        """Claim a request, or learn what became of it before.

        Args:
            identity: The customer and the key, as `team/customer/hash`.
            fingerprint: Hash of the call.
            deadline_at: Monotonic time until which to wait for another run.
            before_join: Called before a wait for another run; the request is
                not run here afterwards.

        Returns:
            The operation that holds the claim, or the claim of an earlier run
            with its ending.

        Raises:
            NotRunError: The request may not run now; another may try.
            RefusedError: The request may not run.
            OutcomeUnknownError: It ran before and its outcome is not known.
        """
        if self.store_down:
            raise _store_down()
        operation = self._begin(identity, fingerprint)
        try:
            earlier = await self._take(operation, deadline_at, before_join)
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

    def finish(self, operation: Operation, answer: WholeAnswer | None) -> None:
        """Note the end of a held operation's run and write it to the table.

        Args:
            operation: The operation.
            answer: The upstream's whole answer, None if it was cut.
        """
        state = ClaimState.UNKNOWN if answer is None else ClaimState.DONE
        operation.end(operation.claim._replace(state=state, answer=answer))
        self.endings.begin(operation)

    def abandon(self, operation: Operation) -> None:
        """Give an operation up that was not dispatched and never will be."""
        operation.held = False
        operation.end(operation.claim._replace(state=ClaimState.NOT_RUN))
        if operation.may_land:
            self.endings.begin(operation)
        else:
            self.operations.pop(operation.claim.operation, None)

    async def read_answer(self, claim: ClaimRow) -> WholeAnswer:
        """Return the stored answer of a claim that is done.

        Raises:
            OutcomeUnknownError: The claim has none or it cannot be read.
        """
        if claim.answer is None:
            raise OutcomeUnknownError("the earlier run's answer was lost")
        if not claim.body_object:
            return claim.answer
        try:
            body = await self.objects.get(claim.body_object)
        except PlatformError as error:
            message = "the earlier run's answer can't be read now"
            raise OutcomeUnknownError(message) from error
        return claim.answer._replace(body=body)

    async def post_claim(self, request: web.Request) -> web.Response:
        """Tell another sidecar what became of an operation of this one."""
        if request.query[INCARNATION_QUERY] != str(self.incarnation):
            raise web.HTTPGone
        wait_s = float(request.query[WAIT_QUERY])
        said = await self.tell(request.match_info["operation"], wait_s=wait_s)
        if said is None:
            raise web.HTTPNotFound
        return web.Response(body=encode(said))

    async def tell(self, operation_id: str, *, wait_s: float) -> ClaimRow | None:
        """Return an own operation's ending, or its claim while it runs.

        Args:
            operation_id: The operation.
            wait_s: Longest time to wait for the ending, in seconds.

        Returns:
            None if the operation is not known; its ending is in the table.
        """
        operation = self.operations.get(operation_id)
        if operation is None:
            return None
        try:
            async with asyncio.timeout(wait_s):
                await operation.ended.wait()
        except TimeoutError:
            pass
        return operation.ending or operation.claim

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

    async def _take(
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
                found = await self._ask(operation.key, found, wait_s=0.0)
            if found.state is ClaimState.CLAIMED:
                before_join()
                return await self._join(operation.key, found, deadline_at)
            if found.state is not ClaimState.NOT_RUN:
                return found
            condition = RevisionIs(operation.key, row.revision)
        raise RefusedError("deadline", "the deadline passed before the claim")

    async def _write_claim(
        self, operation: Operation, condition: Condition
    ) -> Row | None:
        """Write a claim; returns the row that stands instead, if one does."""
        key = operation.key
        txn = Txn((condition,), (Put(key, encode(operation.claim)),), (key,))
        for _ in range(CLAIM_TRIES):
            try:
                result = await self.group.commit(txn)
            except TableTimeout:
                operation.may_land = True
                continue
            if result.succeeded:
                operation.may_land = True
                return None
            if not result.rows:
                raise NotRunError("claim_moved", "the claim was removed meanwhile")
            row = result.rows[0]
            is_own = decode(row.value).operation == operation.claim.operation
            return None if is_own else row
        raise TableTimeout("the claim's outcome could not be learned")

    async def _join(self, key: str, found: ClaimRow, deadline_at: float) -> ClaimRow:
        while (left_s := deadline_at - time.monotonic()) > 0:
            said = await self._ask(key, found, wait_s=min(JOIN_POLL_S, left_s))
            if said.state is ClaimState.NOT_RUN:
                raise NotRunError("claim_released", "the earlier run never began")
            if said.state is not ClaimState.CLAIMED:
                return said
        raise OutcomeUnknownError("the earlier run has not ended yet")

    async def _ask(self, key: str, found: ClaimRow, *, wait_s: float) -> ClaimRow:
        """Ask a claim's owner for the ending; the claim itself if it still runs.

        Raises:
            OutcomeUnknownError: The owner is gone and left no ending.
        """
        said = await self.tell(found.operation, wait_s=wait_s)
        said = said or await self.owners.ask(found, wait_s=wait_s)
        return said or await self._reread(key, found)

    async def _reread(self, key: str, found: ClaimRow) -> ClaimRow:
        try:
            row = await self.table.get(key)
        except PlatformError as error:
            raise OutcomeUnknownError("the earlier run's owner is gone") from error
        if row is not None:
            now = decode(row.value)
            if now.state is not ClaimState.CLAIMED:
                return now
        self.log.event(_events.CLAIM_ORPHANED, key=key, owner=found.instance)
        raise OutcomeUnknownError("the earlier run's owner is gone")

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
