"""Tests of streams whose callers come back after all entries were killed."""

import asyncio
import contextlib

import pytest
from multidict import CIMultiDict

from skylarkdoor.kernel import Kernel
from skylarkdoor_bench.testing import free_port
from skylarkdoord.direct import DirectSettings
from skylarkdoord.direct._guard import Guard
from skylarkdoord.direct._settings import DirectListen

from ._standins import LOOPBACK, Entry, route
from .test_stream_versions import CUT_AFTER, EVENTS, Release, read

TIMEOUT_S = 0.8
# Times after which callers come back, in timeouts of the route.
RETURNS = (0.2, 1.2, 2.3, 3.5)
# A route on which an entry doesn't go on by itself, so that the caller comes back.
ONCE = route(
    routeType="streaming",
    streamResume=True,
    maxAttempts=1,
    timeoutMs=int(TIMEOUT_S * 1000),
)
ENGINES = [{"name": "desk", "healthPath": "/healthz", "runtime": {"slots": 4}}]
REST = list(range(CUT_AFTER + 1, EVENTS + 1))


async def kill(entry):
    """End an entry at once, so that it says nothing to the others."""
    tasks = [task for task in entry.kernel.tasks if not task.done()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    with contextlib.suppress(Exception):
        await entry.__aexit__()


class Restart:
    """Two entries, servers of two versions, and streams that were broken off.

    The old version serves alone at first.
    """

    def __init__(self, store, stack, caller, release, guard=None):
        self.store = store
        self.stack = stack
        self.caller = caller
        self.release = release
        self.guard = guard
        self.entries = []

    async def start_entries(self, servers, *, first_start=False):
        """Start the entries and wait until they know the servers."""
        self.entries = []
        for name in ("edge-1", "edge-2"):
            entry = Entry(self.store, name)
            entry.settings = entry.settings._replace(first_start=first_start)
            if self.guard is not None:
                entry.settings = entry.settings._replace(guard_port=port_of(self.guard))
            self.entries.append(await self.stack.enter_async_context(entry))
        for entry in self.entries:
            await entry.until_serving(servers)

    async def kill_entries(self):
        """Kill all entries at once."""
        await asyncio.gather(*(kill(entry) for entry in self.entries))

    async def write(self, version, state="ready"):
        """Write the rows of all servers of a version; None removes them."""
        servers = self.release.old if version == "v1" else self.release.new
        name = "old" if version == "v1" else "new"
        for number, server in enumerate(servers):
            if state is None:
                await self.store.put("servers", f"{name}-{number}", None)
            else:
                await self.release.write(
                    server, f"{name}-{number}", version=version, state=state
                )

    async def begin(self):
        """Begin a stream at the old version for each return; they break off."""
        for number in range(len(RETURNS)):
            _, ids = await read(self.caller, self.entries[0], f"first-{number}")
            assert ids == list(range(1, CUT_AFTER + 1))

    async def come_back(self):
        """Let the callers come back at another entry; return what each got."""

        async def one(number, returns):
            await asyncio.sleep(returns * TIMEOUT_S)
            resume = {
                "Last-Event-Id": str(CUT_AFTER),
                "Resumes": f"first-{number}",
            }
            return await read(self.caller, self.entries[1], f"again-{number}", **resume)

        return await asyncio.gather(
            *(one(number, returns) for number, returns in enumerate(RETURNS))
        )


def port_of(guard):
    """Return the port on which a guard listens."""
    return int(guard.settings.listen.peers.rpartition(":")[2])


async def read_fields(restart, attempt, fields):
    """Send a request with header fields of which some may be repeated."""
    headers = CIMultiDict(fields)
    return await read(restart.caller, restart.entries[1], attempt, headers=headers)


@pytest.fixture
async def guard():
    """Return a running guard; all servers share it, as they have one address."""
    listen = DirectListen(
        peers=f"{LOOPBACK}:{free_port()}", metrics=f"{LOOPBACK}:{free_port()}"
    )
    guard = Guard(
        DirectSettings("side-1", "north", "none", f"{LOOPBACK}:1", listen, guard_port=1)
    )
    kernel = Kernel()
    await guard.start(kernel)
    yield guard
    await guard.stop()
    for task in kernel.tasks:
        task.cancel()
    await asyncio.gather(*kernel.tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def running(start, store, guard=None):
    """Run two entries and one server of the old version."""
    options = {"services": ENGINES} if guard else {}
    async with contextlib.AsyncExitStack() as stack:
        release = await stack.enter_async_context(Release(store, 1, 2))
        caller = await stack.enter_async_context(start([ONCE], [], **options))
        restart = Restart(store, stack, caller, release, guard)
        await restart.write("v2", state=None)
        await restart.start_entries(1, first_start=True)
        yield restart


@pytest.fixture
async def restart(start, store):
    """Run two entries and one server of the old version, without guards."""
    async with running(start, store) as restart:
        yield restart


@pytest.fixture
async def guarded(start, store, guard):
    """Run two entries and one engine of the old version, with a guard."""
    async with running(start, store, guard) as restart:
        yield restart


class TestRestart:
    """Callers that come back after all entries were killed at once.

    Reported: they were answered 200, with the first part from the old version and the
    rest from the new one.
    """

    async def test_rows_left_before(self, restart):
        """The rows of the old version went before the entries stopped."""
        await restart.begin()
        await restart.write("v2")
        await restart.write("v1", state=None)
        for entry in restart.entries:
            fleet = entry.kernel.services["fleet"].fleet
            await entry.until(
                lambda fleet=fleet: (
                    {one.version for one in fleet.upstreams("desk")} == {"v2"}
                )
            )
        await restart.kill_entries()
        await restart.start_entries(2)
        answers = await restart.come_back()
        assert restart.release.mixed() == []
        assert answers == [(503, [])] * len(RETURNS)

    async def test_rows_left_meanwhile(self, restart):
        """The rows of the old version went while the entries were down."""
        await restart.begin()
        await restart.kill_entries()
        await restart.write("v2")
        await restart.write("v1", state=None)
        await restart.start_entries(2)
        answers = await restart.come_back()
        assert restart.release.mixed() == []
        assert answers == [(503, [])] * len(RETURNS)

    async def test_both_in_service(self, restart):
        """Both versions are in service; without guards, nobody knows the streams."""
        await restart.begin()
        await restart.write("v2")
        await restart.kill_entries()
        await restart.start_entries(3)
        answers = await restart.come_back()
        assert restart.release.mixed() == []
        assert answers == [(503, [])] * len(RETURNS)

    # Guards against refusals of all streams: guards survive the loss of all entries.
    async def test_guarded(self, guarded):
        """With guards, streams go on at their version while it is in service."""
        await guarded.begin()
        await guarded.write("v2")
        await guarded.kill_entries()
        await guarded.start_entries(3)
        answers = await guarded.come_back()
        assert guarded.release.mixed() == []
        assert answers == [(200, REST)] * len(RETURNS)

    # Guards against a record that is taken for the version that the engine runs now.
    async def test_guarded_version_left(self, guarded):
        """A guard's record stays true once its engine runs another version."""
        await guarded.begin()
        await guarded.kill_entries()
        await guarded.write("v2")
        await guarded.write("v1", state=None)
        await guarded.start_entries(2)
        answers = await guarded.come_back()
        assert guarded.release.mixed() == []
        assert answers == [(503, [])] * len(RETURNS)


class TestOneVersion:
    """Callers that come back while a service has had one version only."""

    async def test_rolling_restart(self, restart):
        """A rolling restart keeps the history, so that unknown streams go on."""
        for number in range(2):
            await kill(restart.entries[number])
            entry = Entry(restart.store, f"edge-{number + 1}")
            entry.settings = entry.settings._replace(first_start=False)
            restart.entries[number] = await restart.stack.enter_async_context(entry)
            history = entry.kernel.services["entries"].members.streams.history
            await entry.until(lambda history=history: history.is_complete)
        resume = {"Last-Event-Id": str(CUT_AFTER), "Resumes": "never"}
        status, ids = await read(restart.caller, restart.entries[0], "a", **resume)
        assert (status, ids) == (200, REST)

    # Guards against a stream whose version left with the entries.
    async def test_all_restart(self, restart):
        """After a restart of all entries, an unknown stream is refused."""
        await restart.kill_entries()
        await restart.start_entries(1)
        resume = {"Last-Event-Id": str(CUT_AFTER), "Resumes": "never"}
        status, _ = await read(restart.caller, restart.entries[0], "a", **resume)
        assert status == 503


class TestResumesHeader:
    """`Resumes` that names no stream of the caller."""

    # Guards against a stream that goes on by one of two names.
    async def test_repeated(self, restart):
        """A repeated `Resumes` names nothing, and the request is refused."""
        await restart.begin()
        await restart.write("v2")
        await restart.entries[1].until_serving(3)
        resume = [
            ("Last-Event-Id", str(CUT_AFTER)),
            ("Resumes", "first-0"),
            ("Resumes", "first-1"),
        ]
        status, _ = await read_fields(restart, "a", resume)
        assert status == 503
        assert restart.release.mixed() == []

    async def test_new_stream(self, restart):
        """Without `Last-Event-Id`, a stream begins anew, whatever `Resumes` names."""
        await restart.begin()
        await restart.write("v1", state=None)
        await restart.write("v2")
        fleet = restart.entries[1].kernel.services["fleet"].fleet
        await restart.entries[1].until(
            lambda: {one.version for one in fleet.upstreams("desk")} == {"v2"}
        )
        status, ids = await read_fields(restart, "a", [("Resumes", "first-0")])
        assert (status, ids) == (200, list(range(1, EVENTS + 1)))
