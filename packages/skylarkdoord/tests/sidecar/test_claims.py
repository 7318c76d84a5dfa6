"""Tests of `skylarkdoord.sidecar._claims` with a table that fails."""

import asyncio
import math
import selectors
from collections.abc import Sequence
from enum import Enum
from typing import Any, NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from skylarkdoor.clients import (
    Absent,
    Delete,
    ObjectAbsent,
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
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import Listen, PlatformAddresses, ProcessSettings
from skylarkdoord.exceptions import NotRunError, OutcomeUnknownError
from skylarkdoord.sidecar._claim_outcomes import MAX_ROW_BODY_BYTES, Operation
from skylarkdoord.sidecar._claim_rows import ClaimRow, ClaimState, CompleteAnswer
from skylarkdoord.sidecar._claims import Claims

SETTLE_S = 6.0
KEYS = ("key-1", "key-2")


class Mode(Enum):
    """Result of a commit."""

    OK = "applied and confirmed"
    DOWN = "certainly not applied"
    LOST_ACK = "applied, but not confirmed"
    LATE = "not confirmed, applied later"
    DROPPED = "not confirmed and never applied"


class FakeTable:
    """A table whose commits fail as `mode` and `next_mode` specify."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.revision = 0
        self.mode = Mode.OK
        self.next_mode: Mode | None = None
        self.late: list[Sequence[Txn]] = []

    async def get(self, key: str) -> Row | None:
        """Return a row."""
        if self.mode is Mode.DOWN:
            raise TableUnavailable("down")
        return self.rows.get(key)

    async def list(self, prefix: str, *, limit: int = 0) -> RowList:
        """Return rows."""
        rows = [row for key, row in self.rows.items() if key.startswith(prefix)]
        return RowList(tuple(rows), self.revision)

    async def commit(self, txns: Sequence[Txn]) -> Sequence[TxnResult]:
        """Apply transactions or fail."""
        await asyncio.sleep(0)
        mode, self.next_mode = self.next_mode or self.mode, None
        match mode:
            case Mode.DOWN:
                raise TableUnavailable("down")
            case Mode.DROPPED:
                raise TableTimeout("dropped")
            case Mode.LATE:
                self.late.append(txns)
                raise TableTimeout("late")
            case Mode.LOST_ACK:
                self.apply(txns)
                raise TableTimeout("lost")
        return self.apply(txns)

    def apply(self, txns: Sequence[Txn]) -> Sequence[TxnResult]:
        """Apply transactions in order."""
        return [self._apply(txn) for txn in txns]

    def _apply(self, txn: Txn) -> TxnResult:
        if not all(self._holds(condition) for condition in txn.conditions):
            found = [self.rows[key] for key in txn.reads if key in self.rows]
            return TxnResult(False, tuple(found), self.revision)
        for write in txn.writes:
            assert not isinstance(write, Delete)
            self._put(write)
        return TxnResult(True, (), self.revision)

    def _put(self, write: Put) -> None:
        self.revision += 1
        version = self.rows[write.key].version + 1 if write.key in self.rows else 1
        row = Row(write.key, write.value, self.revision, version)
        self.rows[write.key] = row

    def _holds(self, condition: Absent | RevisionIs | ValueIs) -> bool:
        row = self.rows.get(condition.key)
        match condition:
            case Absent():
                return row is None
            case RevisionIs(_, revision):
                return row is not None and row.revision == revision
            case ValueIs(_, value):
                return row is not None and row.value == value


class FakeObjects:
    """An object store that never fails."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    async def get(self, key: str) -> bytes:
        """Return an object."""
        if key not in self.objects:
            raise ObjectAbsent(key)
        return self.objects[key]

    async def put(self, key: str, data: bytes) -> None:
        """Write an object."""
        self.objects[key] = data


class Sidecar:
    """The claims service of one incarnation of a sidecar."""

    def __init__(self, world: "World", incarnation: int) -> None:
        self.kernel = Kernel()
        self.incarnation = incarnation
        listen = Listen(internal=f"127.0.0.1:{incarnation}")
        addresses = PlatformAddresses(("http://t",), "http://o", "http://i", "http://w")
        name = f"sidecar-{incarnation}"
        self.claims = Claims(ProcessSettings(name, "teika", listen, addresses))
        objects: Any = world.objects
        self.claims.open(self.kernel, world.table, objects, world, incarnation)

    async def stop(self) -> None:
        """Cancel all tasks."""
        tasks = list(self.kernel.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class World:
    """A table, an object store and the running sidecars."""

    def __init__(self) -> None:
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.incarnations = 0
        self.sidecars = [self.start(), self.start()]

    def start(self) -> Sidecar:
        """Start a new incarnation of a sidecar."""
        self.incarnations += 1
        return Sidecar(self, self.incarnations)

    async def find_outcome(self, claim: ClaimRow, *, wait_s: float) -> ClaimRow | None:
        """Query the owner of a claim, if that incarnation still runs."""
        for sidecar in self.sidecars:
            if sidecar.incarnation == claim.incarnation:
                return await sidecar.claims.find_outcome(claim.operation, wait_s=wait_s)
        return None


class _SkippingSelector(selectors.DefaultSelector):
    """A selector that skips idle time."""

    skipped_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return ready events; without any, skip the time-out."""
        ready = super().select(0)
        if not ready and timeout:
            self.skipped_s += timeout
        return ready


class SkippingLoop(asyncio.SelectorEventLoop):
    """An event loop that skips waiting times."""

    def __init__(self) -> None:
        self.skipping = _SkippingSelector()
        super().__init__(self.skipping)

    def time(self) -> float:
        """Return the time including skipped time."""
        return super().time() + self.skipping.skipped_s


async def acquire(
    sidecar: Sidecar, key: str, *, fingerprint: str = "body"
) -> Operation | ClaimRow:
    """Claim a request without a deadline."""
    return await sidecar.claims.acquire(
        f"team/customer/{key}",
        fingerprint,
        deadline_at=math.inf,
        before_join=lambda: None,
    )


class Run(NamedTuple):
    """A request that holds its claim and has been dispatched."""

    sidecar: Sidecar
    key: str
    operation: Operation


class ClaimMachine(RuleBasedStateMachine):
    """Requests are retried while the table and the sidecars fail."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = SkippingLoop()
        self.world = self.loop.run_until_complete(self.make_world())
        self.executions = dict.fromkeys(KEYS, 0)
        self.answers: dict[str, bytes] = {}
        self.uncertain: set[str] = set()
        self.running: list[Run] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def make_world(self) -> World:
        """Start the sidecars inside the loop."""
        return World()

    def settle(self) -> None:
        """Run the loop until outstanding retries have been made."""
        self.loop.run_until_complete(asyncio.sleep(SETTLE_S))

    async def serve(self, sidecar: Sidecar, key: str) -> None:
        """Process a request up to its dispatch."""
        try:
            claim = await acquire(sidecar, key)
        except (NotRunError, OutcomeUnknownError):
            return
        if isinstance(claim, ClaimRow):
            self.check_outcome(key, claim)
            return
        self.executions[key] += 1
        self.running.append(Run(sidecar, key, claim))

    def check_outcome(self, key: str, outcome: ClaimRow) -> None:
        """Compare a stored outcome with the actual one."""
        if outcome.state is ClaimState.UNKNOWN:
            assert key in self.uncertain
            return
        assert outcome.state is ClaimState.DONE
        assert outcome.answer is not None
        assert outcome.answer.body == self.answers[key]

    def end(self, run: Run, answer: CompleteAnswer | None) -> None:
        """End a run, inside the loop."""
        self.loop.call_soon(run.sidecar.claims.finish, run.operation, answer)
        self.loop.run_until_complete(asyncio.sleep(0))

    def take_run(self, data: st.DataObject) -> Run | None:
        """Draw a run and remove it from the list."""
        if not self.running:
            return None
        index = data.draw(st.integers(0, len(self.running) - 1))
        return self.running.pop(index)

    @rule(index=st.integers(0, 1), key=st.sampled_from(KEYS), together=st.booleans())
    def send(self, index: int, key: str, together: bool) -> None:
        """A request arrives, possibly while the previous one is being claimed."""
        sidecar = self.world.sidecars[index]
        self.tasks.append(self.loop.create_task(self.serve(sidecar, key)))
        if not together:
            self.settle()

    @rule(mode=st.sampled_from(Mode))
    def fail(self, mode: Mode) -> None:
        """The failure mode of the table changes."""
        self.world.table.mode = mode

    @rule(mode=st.sampled_from(Mode))
    def fail_once(self, mode: Mode) -> None:
        """The next commit fails."""
        self.world.table.next_mode = mode

    @rule(data=st.data())
    def apply_late(self, data: st.DataObject) -> None:
        """A late commit is applied, in any order."""
        late = self.world.table.late
        if late:
            self.world.table.apply(late.pop(data.draw(st.integers(0, len(late) - 1))))

    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        """The upstream responds to a run."""
        run = self.take_run(data)
        if run is not None:
            body = f"{run.key} {self.executions[run.key]}".encode()
            self.answers[run.key] = body
            self.end(run, CompleteAnswer(200, (), body))

    @rule(data=st.data())
    def cut(self, data: st.DataObject) -> None:
        """The upstream's response to a run is truncated."""
        run = self.take_run(data)
        if run is not None:
            self.uncertain.add(run.key)
            self.end(run, None)

    @rule(data=st.data())
    def refuse(self, data: st.DataObject) -> None:
        """The upstream could not be reached, so the request was not run."""
        run = self.take_run(data)
        if run is not None:
            self.executions[run.key] -= 1
            self.loop.call_soon(run.sidecar.claims.abandon, run.operation)
            self.loop.run_until_complete(asyncio.sleep(0))

    @rule(index=st.integers(0, 1))
    def kill(self, index: int) -> None:
        """A sidecar crashes, losing its memory, and a new one replaces it."""
        crashed = self.world.sidecars[index]
        for operation in crashed.claims.operations.values():
            self.uncertain.add(operation.key.rpartition("/")[2])
        self.running = [run for run in self.running if run.sidecar is not crashed]
        self.loop.run_until_complete(crashed.stop())
        self.world.sidecars[index] = self.loop.run_until_complete(self.start())

    async def start(self) -> Sidecar:
        """Start an incarnation inside the loop."""
        return self.world.start()

    @invariant()
    def at_most_once(self) -> None:
        """No request runs more than once."""
        assert max(self.executions.values()) <= 1, self.executions

    @invariant()
    def no_task_failed(self) -> None:
        """No task of a sidecar or of a request has failed."""
        for sidecar in self.world.sidecars:
            assert not sidecar.kernel.failures
        for task in self.tasks:
            if task.done() and not task.cancelled():
                task.result()

    def teardown(self) -> None:
        """After all failures have ended, a request that never ran can run."""
        self.world.table.mode = Mode.OK
        self.world.table.next_mode = None
        self.settle()
        while self.world.table.late:
            self.world.table.apply(self.world.table.late.pop())
        for run in list(self.running):
            self.uncertain.add(run.key)
            self.end(run, None)
        self.running.clear()
        for key in KEYS:
            sidecar = self.world.sidecars[0]
            self.tasks.append(self.loop.create_task(self.serve(sidecar, key)))
            self.settle()
            self.at_most_once()
            self.no_task_failed()
            assert self.executions[key] == 1 or key in self.uncertain
        self.close()

    def close(self) -> None:
        """Cancel all tasks."""
        for sidecar in self.world.sidecars:
            self.loop.run_until_complete(sidecar.stop())
        for task in self.tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


class TestMachine(ClaimMachine.TestCase):
    """Under any failures a request runs at most once and its outcome is correct."""

    settings = settings(
        max_examples=250, stateful_step_count=10, deadline=None, derandomize=True
    )


class TestAnswers:
    """Stored responses."""

    async def test_large_body(self) -> None:
        """A large body is written to the object store and read from there."""
        world = World()
        first, second = world.sidecars
        body = b"x" * (MAX_ROW_BODY_BYTES + 1)
        claim = await acquire(first, "key-1")
        assert isinstance(claim, Operation)
        first.claims.finish(claim, CompleteAnswer(200, (), body))
        await asyncio.gather(*first.claims.outcome_writer.tasks)
        await first.stop()
        found = await acquire(second, "key-1")
        assert isinstance(found, ClaimRow)
        assert len(world.table.rows[claim.key].value) < MAX_ROW_BODY_BYTES
        assert (await second.claims.read_answer(found)).body == body
        await second.stop()
