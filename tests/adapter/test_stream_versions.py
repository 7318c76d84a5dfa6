"""Tests of streams at servers of several software versions."""

import asyncio
import contextlib

import aiohttp
import pytest
from multidict import CIMultiDict

from skylarkdoor_bench.testing import free_port

from ._standins import LOOPBACK, Entry, Server, reset, route, server_row, stream

EVENTS = 8
CUT_AFTER = 3
STREAMS = 20
STREAM = route(routeType="streaming", streamResume=True)
# A route on which an entry doesn't go on by itself, so that the caller comes back.
ONCE = route(routeType="streaming", streamResume=True, maxAttempts=1)


class Release:
    """Servers of two versions.

    The first one, of the old version, breaks off every new stream; all others write
    whole ones.

    Args:
        old: Number of servers of the old version.
        new: Number of servers of the new version.
    """

    def __init__(self, store, old, new):
        self.store = store
        broken = stream(range(1, CUT_AFTER + 1), is_cut=True)
        whole = stream(range(1, EVENTS + 1))

        async def cut(request, writer):
            script = whole if request.header("Last-Event-Id") else broken
            await script(request, writer)

        self.old = [Server(whole if number else cut) for number in range(old)]
        self.new = [Server(whole) for _ in range(new)]

    async def __aenter__(self):
        """Start the servers and write their rows."""
        self.stack = contextlib.AsyncExitStack()
        for server in (*self.old, *self.new):
            await self.stack.enter_async_context(server)
        for number, server in enumerate(self.old):
            await self.write(server, f"old-{number}", version="v1")
        await self.write_new()
        return self

    async def __aexit__(self, *exc):
        """Close the listeners."""
        await self.stack.aclose()

    async def write(self, server, name, **changes):
        """Write a server's row."""
        await self.store.put("servers", name, server_row(server, **changes))

    async def write_new(self, state="ready"):
        """Write the rows of the new version."""
        for number, server in enumerate(self.new):
            await self.write(server, f"new-{number}", version="v2", state=state)

    def mixed(self):
        """Return the resumed streams that reached the new version."""
        return [
            request
            for server in self.new
            for request in server.requests
            if request.header("Last-Event-Id")
        ]


async def read(caller, entry, attempt, headers=(), **resume):
    """Send a request; return its status and the ids of its events, also if broken.

    Args:
        caller: The caller.
        entry: The entry.
        attempt: Id of the attempt.
        headers: Further headers, of which some may be repeated.
        resume: Further headers by name.
    """
    headers = CIMultiDict(headers)
    headers.extend(
        {"Host": "desk.example", "Attempt-Id": attempt, "Deadline-Ms": "3000"} | resume
    )
    body = b""
    status = None
    with contextlib.suppress(aiohttp.ClientError):
        async with caller.session.post(f"{entry.url}/desk/1", headers=headers) as got:
            status = got.status
            async for data in got.content.iter_any():
                body += data
    lines = body.decode().splitlines()
    return status, [int(line[4:]) for line in lines if line.startswith("id: ")]


async def begin_old(caller, entry, release):
    """Begin a stream at the old version and have it broken off; return its attempt."""
    for server in release.old[1:]:
        await release.write(
            server, f"old-{release.old.index(server)}", state="draining"
        )
    await release.write_new(state="draining")
    fleet = entry.kernel.services["fleet"].fleet
    await entry.until(lambda: len(list(fleet.upstreams("desk"))) == 1)
    _, ids = await read(caller, entry, "first")
    assert ids == list(range(1, CUT_AFTER + 1))
    for number, server in enumerate(release.old[1:], start=1):
        await release.write(server, f"old-{number}", version="v1", sequence=2)
    await release.write_new()
    return "first"


class TestOwnResumption:
    """Streams that break off at a server and that the entry goes on with."""

    # Guards against the report: an entry goes on with a stream at a server of another
    # version than the one that began it.
    @pytest.mark.parametrize(("old", "new"), [(1, 1), (2, 2), (2, 6)])
    async def test_version(self, start, store, old, new):
        """Only servers of the version that began a stream go on with it."""
        async with Release(store, old, new) as release:
            async with start([STREAM], []) as caller:
                await caller.entry.until_serving(old + new)
                answers = await asyncio.gather(
                    *(
                        read(caller, caller.entry, f"a{number}")
                        for number in range(STREAMS)
                    )
                )
        assert release.mixed() == []
        whole = list(range(1, EVENTS + 1))
        assert release.old[0].requests
        assert all(ids in (whole, whole[:CUT_AFTER]) for _, ids in answers)
        if old > 1:
            assert all(ids == whole for _, ids in answers)


class TestCallerResumption:
    """Streams that break off and that callers take up again."""

    # Guards against the report: a caller that comes back is sent to another version.
    @pytest.mark.parametrize("entries", [1, 3])
    async def test_version(self, start, store, entries):
        """A caller goes on at the version that began, at the same or another entry."""
        async with self.running(start, store, entries) as (caller, running, release):
            first = await begin_old(caller, running[0], release)
            await self.until_all_listed(running, release)
            for number in range(4):
                resume = {"Last-Event-Id": str(CUT_AFTER), "Resumes": first}
                status, ids = await read(
                    caller, running[-1], f"again-{number}", **resume
                )
                assert (status, ids) == (200, list(range(CUT_AFTER + 1, EVENTS + 1)))
        assert release.mixed() == []

    # Guards against streams that nobody knows once the entry that began them is gone.
    async def test_entry_lost(self, start, store):
        """A stream whose entry has stopped goes on at another entry."""
        async with self.running(start, store, 3) as (caller, running, release):
            first = await begin_old(caller, running[0], release)
            await self.until_all_listed(running, release)
            await asyncio.sleep(0.2)
            for task in list(running[0].kernel.tasks):
                task.cancel()
            resume = {"Last-Event-Id": str(CUT_AFTER), "Resumes": first}
            status, ids = await read(caller, running[1], "again", **resume)
        assert (status, ids) == (200, list(range(CUT_AFTER + 1, EVENTS + 1)))
        assert release.mixed() == []

    async def test_version_gone(self, start, store):
        """If no server of the version is left, the caller is refused at once."""
        async with self.running(start, store, 2) as (caller, running, release):
            first = await begin_old(caller, running[0], release)
            for number, server in enumerate(release.old):
                await release.write(
                    server, f"old-{number}", version="v1", state="draining", sequence=3
                )
            fleet = running[1].kernel.services["fleet"].fleet
            await running[1].until(
                lambda: len(list(fleet.upstreams("desk"))) == len(release.new)
            )
            resume = {"Last-Event-Id": str(CUT_AFTER), "Resumes": first}
            status, ids = await read(caller, running[1], "again", **resume)
        assert (status, ids) == (503, [])
        assert release.mixed() == []

    @pytest.mark.parametrize(
        "resumes", ["unknown", "", "first,x", "²"], ids=["other", "none", "two", "odd"]
    )
    async def test_unknown(self, start, store, resumes):
        """A stream that no entry knows is refused, not guessed."""
        async with self.running(start, store, 2) as (caller, running, release):
            await self.until_all_listed(running, release)
            resume = {"Last-Event-Id": str(CUT_AFTER), "Resumes": resumes}
            status, ids = await read(caller, running[1], "again", **resume)
        assert (status, ids) == (503, [])

    async def test_resumed_again(self, start, store):
        """A second resumption may name the attempt of the first one."""
        async with self.running(start, store, 2) as (caller, running, release):
            first = await begin_old(caller, running[0], release)
            await self.until_all_listed(running, release)
            resume = {"Last-Event-Id": str(CUT_AFTER), "Resumes": first}
            await read(caller, running[1], "second", **resume)
            resume = {"Last-Event-Id": str(CUT_AFTER + 1), "Resumes": "second"}
            status, ids = await read(caller, running[0], "third", **resume)
        assert (status, ids) == (200, list(range(CUT_AFTER + 2, EVENTS + 1)))
        assert release.mixed() == []

    @contextlib.asynccontextmanager
    async def running(self, start, store, entries):
        """Run entries and servers of two versions."""
        async with contextlib.AsyncExitStack() as stack:
            release = await stack.enter_async_context(Release(store, 3, 6))
            caller = await stack.enter_async_context(start([ONCE], []))
            running = [caller.entry] + [
                await stack.enter_async_context(Entry(store, f"edge-{number}"))
                for number in range(2, entries + 1)
            ]
            for entry in running:
                await entry.until_serving(9)
                exchange = entry.kernel.services["entries"]
                await entry.until(
                    lambda exchange=exchange: len(exchange.outboxes) == entries - 1
                )
            yield caller, running, release

    @staticmethod
    async def until_all_listed(running, release):
        """Wait until all entries list all servers as ready."""
        servers = len(release.old) + len(release.new)
        for entry in running:
            fleet = entry.kernel.services["fleet"].fleet
            await entry.until(
                lambda fleet=fleet: len(list(fleet.upstreams("desk"))) == servers
            )


class TestOtherSoftware:
    """A server that starts again under its name with software of another version."""

    @contextlib.asynccontextmanager
    async def broken_off(self, start, store, **relisted):
        """Break a stream off after the registry has listed its server anew.

        Another server of the version that was listed first joins before that. Yields
        the caller, with the other server and the answer.

        Args:
            start: Runs an entry.
            store: The store.
            relisted: Changed fields of the server's row.
        """
        part = stream(range(1, CUT_AFTER + 1), is_cut=True)

        async def script(request, writer):
            fleet = caller.entry.kernel.services["fleet"].fleet
            await store.put("servers", "i-1", server_row(other))
            await store.put("servers", "i-0", server_row(first, **relisted))
            await caller.entry.until(
                lambda: (
                    fleet.find("i-1")
                    and fleet.find("i-0").started_ms == relisted.get("born", 1)
                )
            )
            await part(request, writer)

        async with (
            Server(script) as first,
            Server(stream(range(CUT_AFTER + 1, EVENTS + 1))) as other,
            start([STREAM], [first]) as caller,
        ):
            caller.other = other
            caller.answer = await read(caller, caller.entry, "first")
            yield caller

    # Guards against streams of two versions that look like one, as the list lags.
    async def test_other_version(self, start, store):
        """A stream is not gone on with if another start may have written it."""
        async with self.broken_off(start, store, version="v2", born=2) as caller:
            assert caller.answer == (200, list(range(1, CUT_AFTER + 1)))
            assert not caller.other.requests

    async def test_caller_comes_back(self, start, store):
        """Nor is it for a caller that takes it up again."""
        async with self.broken_off(start, store, version="v2", born=2) as caller:
            resume = {"Last-Event-Id": str(CUT_AFTER), "Resumes": "first"}
            status, ids = await read(caller, caller.entry, "second", **resume)
            assert (status, ids) == (503, [])
            assert not caller.other.requests

    @pytest.mark.parametrize("relisted", [{}, {"born": 2}], ids=["same", "restarted"])
    async def test_same_version(self, start, store, relisted):
        """It is gone on with if its server is listed with the same version."""
        async with self.broken_off(start, store, **relisted) as caller:
            assert caller.answer == (200, list(range(1, EVENTS + 1)))

    # Guards against the same while the list does not show the other start yet.
    async def test_unreachable_before(self, start, store):
        """A stream of a server that was down just before is not gone on with."""
        part = stream(range(1, CUT_AFTER + 1), is_cut=True)
        async with Server(part) as first, Server(stream(range(1, 9))) as other:
            async with start([STREAM], [first]) as caller:
                upstreams = caller.entry.kernel.services[
                    "callers"
                ].dependencies.upstreams
                (upstream,) = upstreams.of_service("desk")
                upstreams.on_unreachable(upstream, "unreachable")
                answer = await read(caller, caller.entry, "first")
                assert answer == (200, list(range(1, CUT_AFTER + 1)))
                await store.put("servers", "i-1", server_row(other))
                await caller.entry.until_serving(2)
                resume = {"Last-Event-Id": str(CUT_AFTER), "Resumes": "first"}
                status, _ = await read(caller, caller.entry, "second", **resume)
                assert status == 503
                assert not other.requests

    # Guards against events of another start that a guard tells while they arrive.
    @pytest.mark.parametrize("is_told", [True, False])
    async def test_restart_told_midway(self, start, store, is_told):
        """A stream with events from after such a start is not gone on with."""
        part = stream(range(1, CUT_AFTER + 1), is_cut=True, pause_s=0.2)
        rest = stream(range(1, EVENTS + 1))
        async with Server(part) as first, Server(rest) as other:
            async with start([STREAM], [first]) as caller:
                dependencies = caller.entry.kernel.services["callers"].dependencies
                (upstream,) = dependencies.upstreams.of_service("desk")
                reading = asyncio.create_task(read(caller, caller.entry, "first"))
                await caller.entry.until(lambda: first.requests)
                await asyncio.sleep(0.1)
                await store.put("servers", "i-1", server_row(other))
                if is_told:
                    dependencies.upstreams.on_restarted(upstream.record, 2)
                status, ids = await reading
        assert status == 200
        last = CUT_AFTER if is_told else EVENTS
        assert ids == list(range(1, last + 1))

    # Guards against a start that the list never shows, as the server ends again.
    async def test_crashed_before(self, start, store):
        """Nor is a stream of a server that was found down after a lost answer."""
        part = stream(range(1, CUT_AFTER + 1), is_cut=True)
        port = free_port()

        async def crash(request, writer):
            listener.close()
            reset(writer)

        async with (
            Server(stream(range(1, EVENTS + 1))) as other,
            start([ONCE], []) as caller,
        ):
            first = Server(crash)
            first.address = f"{LOOPBACK}:{port}"
            listener = await asyncio.start_server(first.serve, LOOPBACK, port)
            await store.put("servers", "i-0", server_row(first))
            await caller.entry.until_serving(1)
            dependencies = caller.entry.kernel.services["callers"].dependencies
            await read(caller, caller.entry, "crashing")
            await asyncio.gather(*dependencies.crashes.checks)

            first.script = part
            listener = await asyncio.start_server(first.serve, LOOPBACK, port)
            await asyncio.sleep(0.5)
            answer = await read(caller, caller.entry, "first")
            listener.close()
            await store.put("servers", "i-1", server_row(other))
            await caller.entry.until_serving(2)
            resume = {"Last-Event-Id": str(CUT_AFTER), "Resumes": "first"}
            status, _ = await read(caller, caller.entry, "second", **resume)
        assert answer == (200, list(range(1, CUT_AFTER + 1)))
        assert status == 503
        assert not other.requests
