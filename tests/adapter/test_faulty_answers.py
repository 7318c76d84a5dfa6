"""Faulty answers: refusals sent twice, errors in streams, heads cut short."""

import asyncio
import contextlib
import itertools

import pytest

from ._standins import (
    Entry,
    Server,
    chunk,
    event,
    head,
    receive,
    reply,
    reset,
    route,
    signed,
    stream,
)

ONCE = route(routeType="non_idempotent", maxAttempts=1)
STREAM = route(routeType="streaming", streamResume=True)
STREAM_ONCE = route(routeType="streaming", streamResume=True, maxAttempts=1)
BEGUN = b"".join(event(number) for number in (1, 2, 3))
ERROR = b'{"error": "internal"}'
# A head and text that a server writes where the events of a stream are due.
STRAY_HEAD = (
    b"HTTP/1.1 500 Internal Server Error\nContent-Type: text/plain\n\nerror\n\n"
)


async def read(caller, entry, attempt, **headers):
    """Send a request; return status, body and whether the body is complete."""
    headers = {"Host": "desk.example", "Deadline-Ms": "3000"} | headers
    headers["Attempt-Id"] = attempt
    return await receive(
        caller.session.post(f"{entry.url}/desk/1", headers=headers, data=b"x")
    )


@contextlib.asynccontextmanager
async def two_entries(start, store, served, servers):
    """Run two entries that know each other; yield a caller and the entries."""
    async with start([served], servers) as caller:
        async with Entry(store, "edge-2") as other:
            await other.until_serving(len(servers))
            for entry in (caller.entry, other):
                exchange = entry.kernel.services["entries"]
                await entry.until(lambda exchange=exchange: exchange.outboxes)
            yield caller, (caller.entry, other)


class TestRefusalSentTwice:
    """A server writes a refusal once more on the connection that it keeps open."""

    PAUSES_S = (0.0, 0.05)

    def script(self, executed, pause_s, pieces):
        """Return a script that refuses every other request, twice each."""
        numbers = itertools.count()

        async def serve(request, writer):
            if next(numbers) % 2:
                executed.append(request.header("Attempt-Id")[0])
                await reply()(request, writer)
                return
            fields = ("Not-Executed: 1", "Content-Length: 0")
            refusal = head(request, *fields, status="503 Service Unavailable")
            writer.write(refusal)
            await writer.drain()
            await asyncio.sleep(pause_s)
            for part in self.split(refusal, pieces):
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.0)

        return serve

    @staticmethod
    def split(data, pieces):
        """Return data in pieces."""
        size = -(-len(data) // pieces)
        return [data[at : at + size] for at in range(0, len(data), size)]

    # Guards against the report: callers are told that a request was not run, although
    # it was, or it runs at a second server.
    @pytest.mark.parametrize("pause_s", PAUSES_S)
    @pytest.mark.parametrize("pieces", [1, 2])
    @pytest.mark.parametrize("same_attempt", [False, True])
    async def test_believed_once(self, start, store, pause_s, pieces, same_attempt):
        """A request that ran is answered, and each request runs at most once."""
        executed = []
        script = self.script(executed, pause_s, pieces)
        async with Server(script) as one, Server(script) as two:
            async with two_entries(start, store, ONCE, [one, two]) as running:
                caller, entries = running
                for number in range(12):
                    attempt = "a" if same_attempt else f"a{number}"
                    before = len(executed)
                    status, body, is_whole = await read(
                        caller, entries[number % 2], attempt
                    )
                    assert is_whole
                    assert len(executed) - before == (status == 200)
                    assert body == b"answer" or status == 503
        assert executed


class TestErrorInStream:
    """A stream breaks off, and the server that goes on with it answers an error."""

    @staticmethod
    def plain(status, fields, body):
        """Return a script that answers with given fields and body, then closes."""

        async def script(request, writer):
            writer.write(signed(request, *fields, status=status) + body)
            await writer.drain()

        return script

    @classmethod
    def answers(cls):
        """Return scripts of faulty answers to a request to go on, by name."""
        length = f"Content-Length: {len(ERROR)}"
        chunked = "Transfer-Encoding: chunked"
        events = "Content-Type: text/event-stream"
        whole = chunk(ERROR) + b"0\r\n\r\n"
        stray = chunk(event(4)) + chunk(STRAY_HEAD) + b"0\r\n\r\n"
        return {
            "500": cls.plain("500 Error", (length,), ERROR),
            "404 chunked": cls.plain("404 Absent", (chunked,), whole),
            "503": cls.plain("503 Unavailable", (length,), ERROR),
            "400 until close": cls.plain("400 Bad", (), ERROR),
            "204": cls.plain("204 None", (), b""),
            "200 text": cls.plain("200 OK", (length,), ERROR),
            "200 lines": cls.plain("200 OK", (), b"error: internal\n\n" * 2),
            "200 nothing": cls.plain("200 OK", (events,), b""),
            "200 head": cls.plain("200 OK", (events,), STRAY_HEAD),
            "200 head within": cls.plain("200 OK", (events, chunked), stray),
        }

    NAMES = (
        "500",
        "404 chunked",
        "503",
        "400 until close",
        "204",
        "200 text",
        "200 lines",
        "200 nothing",
        "200 head",
        "200 head within",
    )

    def server(self, name):
        """Return a server that breaks off new streams and goes on with an error."""
        broken, faulty = stream((1, 2, 3), is_cut=True), self.answers()[name]

        async def script(request, writer):
            if request.header("Last-Event-Id"):
                await faulty(request, writer)
            else:
                await broken(request, writer)

        return Server(script)

    # Guards against the report: callers find an error's text or head in their stream,
    # or the stream ends as if it were complete.
    @pytest.mark.parametrize("name", NAMES)
    async def test_entry_goes_on(self, start, name):
        """The stream is broken off after the last whole event."""
        async with self.server(name) as one, self.server(name) as two:
            async with start([STREAM], [one, two]) as caller:
                status, body, is_whole = await read(caller, caller.entry, "a1")
        assert status == 200
        assert body in (BEGUN, BEGUN + event(4))
        assert not is_whole
        assert len(one.requests) + len(two.requests) == 2

    @pytest.mark.parametrize("name", NAMES)
    async def test_caller_comes_back(self, start, store, name):
        """A caller that comes back at another entry gets no text as events."""
        async with self.server(name) as one, self.server(name) as two:
            async with two_entries(start, store, STREAM_ONCE, [one, two]) as running:
                caller, entries = running
                assert (await read(caller, entries[0], "a1"))[1:] == (BEGUN, False)
                resume = {"Last-Event-Id": "3", "Resumes": "a1"}
                status, body, is_whole = await read(caller, entries[1], "a2", **resume)
        if status == 200:
            assert body in (b"", event(4))
            assert not is_whole
        else:
            assert body == ERROR or b"outcome_unknown" in body or status == 204

    async def test_error_in_first_stream(self, start):
        """A head in the middle of a stream is not passed on."""
        tail = STRAY_HEAD
        async with Server(stream((1, 2, 3), tail=tail)) as server:
            async with start([STREAM_ONCE], [server]) as caller:
                _, body, is_whole = await read(caller, caller.entry, "a1")
        assert (body, is_whole) == (BEGUN, False)


class TestHeadCutShort:
    """A server ends within the head of its answer."""

    PARTS = (0.05, 0.2, 0.4, 0.6, 0.8, 0.99)

    def script(self, part, end, fields=("Content-Length: 6",)):
        """Return a script that writes a part of an answer's head."""

        async def serve(request, writer):
            whole = signed(request, *fields)
            writer.write(whole[: int(part * len(whole))])
            await writer.drain()
            await asyncio.sleep(0.02)
            end(writer)

        return serve

    # Guards against the report: callers get a 200 with an empty or a short body.
    @pytest.mark.parametrize("part", PARTS)
    @pytest.mark.parametrize("end", [reset, asyncio.StreamWriter.close])
    @pytest.mark.parametrize("served", [ONCE, STREAM_ONCE])
    async def test_lost(self, start, store, part, end, served):
        """The outcome is unknown, at each entry; the request runs once at each try."""
        async with Server(self.script(part, end)) as server:
            async with two_entries(start, store, served, [server]) as running:
                caller, entries = running
                for number, entry in enumerate(entries):
                    status, _, is_whole = await read(caller, entry, f"a{number}")
                    assert (status, is_whole) == (502, True)
                    assert len(server.requests) == number + 1

    @pytest.mark.parametrize("part", PARTS)
    async def test_stream_goes_on(self, start, part):
        """A stream that was to go on is broken off, not ended as complete."""
        broken = stream((1, 2, 3), is_cut=True)
        fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        cut = self.script(part, asyncio.StreamWriter.close, fields)

        async def script(request, writer):
            resumed = request.header("Last-Event-Id")
            await (cut if resumed else broken)(request, writer)

        async with Server(script) as one, Server(script) as two:
            async with start([STREAM], [one, two]) as caller:
                status, body, is_whole = await read(caller, caller.entry, "a1")
        assert (status, body, is_whole) == (200, BEGUN, False)
