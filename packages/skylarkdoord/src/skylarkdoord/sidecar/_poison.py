"""Limits the damage of poison requests, that is requests that crash upstreams.

Every request that runs in an upstream when it crashes becomes a suspect. A
suspect runs alone, on one upstream of the pool at a time. If that upstream
crashes, the request is quarantined; otherwise it is cleared.
"""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from functools import partial

from skylarkdoor import events
from skylarkdoor.clients import PlatformError, TableTimeout
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.common import Backoff, Platform, Suspicions, crash_id
from skylarkdoord.exceptions import (
    RefusedError,
    SuspectRowError,
    UpstreamCutError,
)
from skylarkdoord.sidecar._scheduler import Scheduler
from skylarkdoord.sidecar._shared_lock import SharedExclusiveLock
from skylarkdoord.sidecar._suspect_rows import (
    PREFIX,
    SuspectTable,
    Trial,
    decode,
    read_fingerprint,
)

WRITE_INTERVAL_S = 0.2
# Time after the request's deadline at which other sidecars may start a trial.
TRIAL_MARGIN_S = 5.0
MAX_TRIAL_ATTEMPTS = 4
RELEASE_TIMEOUT_S = 1.0
BUSY_RETRY_AFTER_S = 2.0
STORE_RETRY_AFTER_S = 2.0
MAX_ROWS_READ = 10_000

Probe = Callable[[], Awaitable[bool]]


@dataclass
class Admission:
    """Permission of a call to run in the upstream.

    Attributes:
        fingerprint: Hash of the request's customer, call and body.
        crashes_before: Number of crashes seen here before the call was admitted.
        whole: Whether the call received a complete response.
    """

    fingerprint: int
    crashes_before: int = 0
    whole: bool = False


class Poison:
    """Admits calls to the upstream and records which calls ran during a crash.

    Args:
        settings: Settings of this process.
    """

    name = "poison"
    requires: tuple[str, ...] = ("platform", "scheduler")

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.suspicions = Suspicions()
        self.running: Counter[int] = Counter()
        self.running_trials: Counter[int] = Counter()
        self.crashes = 0
        self.unwritten: dict[int, None] = {}
        self.wake = asyncio.Event()
        self.lock = SharedExclusiveLock()
        self.probe_task: asyncio.Task[None] | None = None
        self.log = events.get_logger("sidecar.poison")

    async def start(self, kernel: Kernel) -> None:
        """Start reading the stored suspects and writing new ones."""
        self.kernel = kernel
        self.scheduler = kernel.find("scheduler", Scheduler)
        self.scheduler.offer_checks.append(self.refusal_reason)
        self.incarnation = self.scheduler.ledger.incarnation
        self.holder = f"{self.settings.instance}/{self.incarnation}"
        self.rows = SuspectTable(kernel.find("platform", Platform).table)
        kernel.supervise(self.read_rows, name="poison.read")
        kernel.supervise(self.write_rows, name="poison.write")

    async def stop(self) -> None:
        """Do nothing: there are no resources to release."""

    def messages(self) -> list[pb.SidecarMessage]:
        """Return the messages about suspects sent when a stream opens."""
        return [pb.SidecarMessage(suspect=item.message()) for item in self.suspicions]

    def on_suspect(self, update: pb.Suspect) -> None:
        """Apply an entry's update about a suspect."""
        self.suspicions.merge_message(update)

    def crash_ids(self, fingerprint: int) -> list[str]:
        """Return the identifiers of the crashes that count against a request."""
        return sorted(self.suspicions.get(fingerprint).open)

    def refusal_reason(self, offer: pb.Offer) -> "pb.RefusalReason | None":
        """Return a reason to refuse an offer whose request is quarantined."""
        if self.suspicions.get(offer.fingerprint).is_quarantined:
            return pb.REFUSAL_REASON_QUARANTINED
        return None

    @asynccontextmanager
    async def admitted(
        self, fingerprint: int, deadline_at: float
    ) -> AsyncIterator[Admission]:
        """Admit a call to the upstream; a suspect runs exclusively.

        Args:
            fingerprint: Fingerprint of the request.
            deadline_at: Monotonic time of the deadline, in seconds.

        Raises:
            RefusedError: The request is quarantined, or a trial can't start now.
            UpstreamCutError: The deadline passed during the trial.
        """
        admission = Admission(fingerprint)
        while True:
            self._check(fingerprint)
            if self.suspicions.get(fingerprint).is_suspect:
                async with self._trial(admission, deadline_at):
                    yield admission
                return
            async with self.lock.shared():
                # The request may have become a suspect while it waited for the lock.
                if self.suspicions.get(fingerprint).is_suspect:
                    continue
                with self._track_running(admission):
                    yield admission
                return

    async def on_cut(self, admission: Admission, probe: Probe) -> None:
        """Determine whether the upstream crashed after a response was truncated.

        All calls truncated by the same crash wait for the same probe, so that all
        of them are still counted as running when they become suspects.

        Args:
            admission: Admission of the call.
            probe: Returns whether the upstream is up.
        """
        if admission.crashes_before < self.crashes:
            return
        if self.probe_task is None:
            self.probe_task = self.kernel.supervise(
                partial(self._probe, probe), name="poison.probe"
            )
        await asyncio.shield(self.probe_task)

    async def read_rows(self) -> None:
        """Read the stored suspects, retrying until the table can be read."""
        backoff = Backoff()
        while True:
            try:
                found = await self.rows.table.list(PREFIX, limit=MAX_ROWS_READ)
                break
            except PlatformError:
                await asyncio.sleep(backoff.delay_s())
        for row in found.rows:
            try:
                suspect = decode(row.value)
                fingerprint = read_fingerprint(row.key)
            except (SuspectRowError, ValueError) as error:
                self.log.event(_events.SUSPECT_WRITE_FAILED, error=str(error))
                continue
            self.suspicions.merge(fingerprint, suspect.crashes, suspect.cleared)

    async def write_rows(self) -> None:
        """Write changed suspects at a limited rate until cancelled."""
        while True:
            await self.wake.wait()
            if not self.unwritten:
                self.wake.clear()
                continue
            fingerprint = next(iter(self.unwritten))
            del self.unwritten[fingerprint]
            try:
                await self._write_row(fingerprint)
            except (PlatformError, SuspectRowError) as error:
                self.unwritten[fingerprint] = None
                self.log.event(_events.SUSPECT_WRITE_FAILED, error=str(error))
            await asyncio.sleep(WRITE_INTERVAL_S)

    @contextmanager
    def _track_running(self, admission: Admission) -> Iterator[None]:
        admission.crashes_before = self.crashes
        self.running[admission.fingerprint] += 1
        try:
            yield
        finally:
            self.running[admission.fingerprint] -= 1
            self.running += Counter()

    @asynccontextmanager
    async def _trial(
        self, admission: Admission, deadline_at: float
    ) -> AsyncIterator[None]:
        fingerprint = admission.fingerprint
        remaining_s = deadline_at - time.monotonic()
        await self._begin_trial(fingerprint, remaining_s)
        self.running_trials[fingerprint] += 1
        entered = False
        try:
            async with asyncio.timeout(remaining_s), self.lock.exclusive():
                self._check(fingerprint)
                entered = True
                with self._track_running(admission):
                    yield
        except TimeoutError:
            if entered:
                raise UpstreamCutError("the deadline passed during the trial") from None
            raise RefusedError("deadline", "the upstream is busy") from None
        finally:
            self.running_trials[fingerprint] -= 1
            if admission.whole:
                self._clear(fingerprint)
            release = self.kernel.supervise(
                partial(self._release, fingerprint), name="poison.end"
            )
            # Wait for the release, because a refused request may be tried at another
            # sidecar at once.
            await asyncio.wait({release}, timeout=RELEASE_TIMEOUT_S)

    async def _release(self, fingerprint: int) -> None:
        """Remove an ended trial from the table, so that others may start one."""
        try:
            await self._write_row(fingerprint)
        except (PlatformError, SuspectRowError):
            self._write_later(fingerprint)

    async def _begin_trial(self, fingerprint: int, remaining_s: float) -> None:
        """Record a trial in the table, so that no other sidecar starts one.

        Raises:
            RefusedError: The request is quarantined, another sidecar runs it, or
                the table is unavailable.
        """
        trial = Trial(self.holder, time.time() + remaining_s + TRIAL_MARGIN_S)
        for _ in range(MAX_TRIAL_ATTEMPTS):
            try:
                row, condition = await self.rows.read(fingerprint)
                self.suspicions.merge(fingerprint, row.crashes, row.cleared)
                self._check(fingerprint)
                if row.is_tried_by_another(self.holder):
                    raise _busy()
                suspicion = self.suspicions.get(fingerprint)
                if await self.rows.write(suspicion, trial, condition):
                    return
            except TableTimeout:
                continue
            except (PlatformError, SuspectRowError) as error:
                raise _store_down() from error
        raise _store_down()

    async def _write_row(self, fingerprint: int) -> None:
        row, condition = await self.rows.read(fingerprint)
        self.suspicions.merge(fingerprint, row.crashes, row.cleared)
        trial = row.trial
        if (
            trial
            and trial.holder == self.holder
            and not self.running_trials[fingerprint]
        ):
            trial = None
        suspicion = self.suspicions.get(fingerprint)
        if not await self.rows.write(suspicion, trial, condition):
            raise TableTimeout("the row was changed concurrently")

    async def _probe(self, probe: Probe) -> None:
        is_up = await probe()
        self.probe_task = None
        if is_up:
            return
        self.scheduler.set_upstream(False)
        self.crashes += 1
        crash = crash_id(self.settings.instance, self.incarnation, self.crashes)
        self.log.event(_events.UPSTREAM_CRASHED, crash=crash, inside=len(self.running))
        for fingerprint in list(self.running):
            self.suspicions.merge(fingerprint, [crash])
            if self.suspicions.get(fingerprint).is_quarantined:
                name = f"{fingerprint:016x}"
                self.log.event(_events.REQUEST_QUARANTINED, fingerprint=name)
            self._publish(fingerprint)

    def _clear(self, fingerprint: int) -> None:
        crashes = self.suspicions.get(fingerprint).crashes
        self.suspicions.merge(fingerprint, (), crashes)
        self.log.event(_events.SUSPECT_CLEARED, fingerprint=f"{fingerprint:016x}")
        self._publish(fingerprint)

    def _publish(self, fingerprint: int) -> None:
        message = self.suspicions.get(fingerprint).message()
        self.scheduler.streams.send_all(pb.SidecarMessage(suspect=message))
        self._write_later(fingerprint)

    def _write_later(self, fingerprint: int) -> None:
        self.unwritten[fingerprint] = None
        self.wake.set()

    def _check(self, fingerprint: int) -> None:
        if self.suspicions.get(fingerprint).is_quarantined:
            raise RefusedError("quarantined", "the request crashes upstreams")


def _busy() -> RefusedError:
    return RefusedError(
        "suspect_busy",
        "the request crashed an upstream and is being run alone elsewhere",
        retry_after_s=BUSY_RETRY_AFTER_S,
    )


def _store_down() -> RefusedError:
    return RefusedError(
        "store_down",
        "the request crashed an upstream and can't be run alone now",
        retry_after_s=STORE_RETRY_AFTER_S,
    )
