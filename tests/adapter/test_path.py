"""Tests of the whole path from a caller to a server and back."""

import asyncio

import aiohttp
import pytest
from yarl import URL

from ._standins import (
    HOST,
    SIGNATURE,
    Server,
    event,
    head,
    refuse,
    reply,
    reset,
    route,
    signed,
    stream,
)

ONCE = route(routeType="non_idempotent", maxAttempts=1)
STREAM = route(routeType="streaming", streamResume=True, itlTargetMs=400)
STREAM_ONCE = route(routeType="streaming", maxAttempts=1)


class TestResponses:
    """Responses that are not streams."""

    async def test_unchanged(self, start):
        """Status, signature and body are passed on as the server sent them."""
        async with Server(reply(b"reserved", "404 Not Found")) as server:
            async with start([ONCE], [server]) as caller:
                status, headers, body = await caller.get()
        assert (status, body) == (404, b"reserved")
        assert headers["Server-Signature"] == SIGNATURE
        assert headers["Attempt-Id"] == "a1"

    async def test_cut(self, start):
        """A truncated response to a non-idempotent request is an error."""

        async def cut(request, writer):
            writer.write(signed(request, "Content-Length: 100") + b"half")
            await writer.drain()

        async with Server(cut) as one, Server(cut) as two:
            async with start([ONCE], [one, two]) as caller:
                status, headers, _ = await caller.get(method="POST", data=b"x")
        assert status == 502
        assert "Server-Signature" not in headers
        assert len(one.requests) + len(two.requests) == 1

    async def test_repeat(self, start):
        """An idempotent request is sent to another server after a reset."""

        async def broken(request, writer):
            reset(writer)

        async with Server(broken) as bad, Server(reply()) as good:
            async with start([route()], [bad, good]) as caller:
                for _ in range(4):
                    assert (await caller.get())[0] == 200

    async def test_no_response(self, start):
        """An idempotent request is sent to another server if one does not respond."""

        async def hang(request, writer):
            await asyncio.sleep(60)

        quick = route(targetLatencyMs=50)
        async with Server(hang) as bad, Server(reply()) as good:
            async with start([quick], [bad, good]) as caller:
                for _ in range(3):
                    assert (await caller.get())[0] == 200

    async def test_reset_without_length(self, start):
        """A response delimited by its connection is incomplete after a reset."""

        async def unframed(request, writer):
            writer.write(signed(request, "Connection: close") + b"half")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        async with Server(unframed) as server:
            async with start([ONCE], [server]) as caller:
                assert (await caller.get())[0] == 502

    async def test_whole_without_length(self, start):
        """A response delimited by its connection is complete after an orderly close."""

        async def unframed(request, writer):
            writer.write(signed(request, "Connection: close") + b"all")
            await writer.drain()

        async with Server(unframed) as server:
            async with start([ONCE], [server]) as caller:
                status, _, body = await caller.get()
        assert (status, body) == (200, b"all")

    async def test_other_request_id(self, start):
        """A response with the id of another request is not passed on."""

        async def crossed(request, writer):
            fields = "Attempt-Id: other\r\nServer-Signature: x\r\nContent-Length: 2"
            writer.write(f"HTTP/1.1 200 OK\r\n{fields}\r\n\r\nno".encode())
            await writer.drain()

        async with Server(crossed) as server:
            async with start([ONCE], [server]) as caller:
                assert (await caller.get())[0] == 502

    async def test_unsigned(self, start):
        """A successful response without a signature is not passed on."""

        async def unsigned(request, writer):
            writer.write(head(request, "Content-Length: 2") + b"no")
            await writer.drain()

        async with Server(unsigned) as server:
            async with start([ONCE], [server]) as caller:
                assert (await caller.get())[0] == 502

    async def test_extra_bytes(self, start):
        """Bytes after a complete response reach no caller."""

        async def twice(request, writer):
            answer = signed(request, "Content-Length: 5") + b"first"
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(answer.replace(b"first", b"wrong"))
            await writer.drain()

        async with Server(twice) as server:
            async with start([ONCE], [server]) as caller:
                for _ in range(5):
                    assert (await caller.get())[2] == b"first"

    async def test_server_error(self, start):
        """Only an idempotent request is sent to another server after an error."""
        failing = reply(b"broken", "500 Internal Server Error")
        async with Server(failing) as bad, Server(reply()) as good:
            async with start([route()], [bad, good]) as caller:
                for _ in range(4):
                    assert (await caller.get())[0] == 200
            async with start([ONCE], [bad]) as caller:
                status, headers, body = await caller.get()
        assert (status, body) == (500, b"broken")
        assert headers["Server-Signature"] == SIGNATURE


class TestStreams:
    """Streams of events."""

    async def test_whole(self, start):
        """Each event is passed on once and in order."""
        async with Server(stream(range(1, 6))) as server:
            async with start([STREAM_ONCE], [server]) as caller:
                status, headers, body = await caller.get()
        assert status == 200
        assert headers["Server-Signature"] == SIGNATURE
        assert body == b"".join(event(number) for number in range(1, 6))

    async def test_cut(self, start):
        """A truncated stream is not passed on as complete."""
        async with Server(stream(range(1, 4), is_cut=True)) as server:
            async with start([STREAM_ONCE], [server]) as caller:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await caller.get()
        assert len(server.requests) == 1

    async def test_resumed(self, start):
        """A resumable stream continues at another server within one response."""
        first = stream(range(1, 4), tail=b"id: 4\nda", is_cut=True)
        async with Server(first) as one, Server(stream(range(1, 7))) as two:
            async with start([STREAM], [one, two]) as caller:
                _, _, body = await caller.get()
        assert body == b"".join(event(number) for number in range(1, 7))
        if one.requests:
            assert two.requests[0].header("Last-Event-Id") == ["3"]

    async def test_resumed_once(self, start):
        """A stream runs on no more servers than its route allows."""
        cut = stream(range(1, 4), is_cut=True)
        async with Server(cut) as one, Server(cut) as two, Server(cut) as three:
            async with start([STREAM], [one, two, three]) as caller:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await caller.get()
        runs = [len(server.requests) for server in (one, two, three)]
        assert sum(runs) == 2

    async def test_resume_refused(self, start):
        """A stream that no server resumes is cut rather than followed by an error."""
        cut = stream(range(1, 4), is_cut=True)

        async def cut_then_refuse(request, writer):
            last = request.header("Last-Event-Id")
            await (refuse() if last else cut)(request, writer)

        async with Server(cut_then_refuse) as one, Server(cut_then_refuse) as two:
            async with start([STREAM], [one, two]) as caller:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await caller.get()

    async def test_cut_before_the_first_event(self, start):
        """A stream that is cut before its first event is an error."""
        async with Server(stream([], tail=b"id: 1\nda", is_cut=True)) as server:
            async with start([STREAM_ONCE], [server]) as caller:
                assert (await caller.get())[0] == 502

    async def test_timeout(self, start):
        """A stream is cut at the route's timeout."""
        short = STREAM_ONCE | {"timeoutMs": 300}
        async with Server(stream(range(1, 100), pause_s=0.1)) as server:
            async with start([short], [server]) as caller:
                with pytest.raises(aiohttp.ClientPayloadError):
                    async with asyncio.timeout(2):
                        await caller.get()


class TestHeads:
    """Requests as servers receive them."""

    async def test_unchanged(self, start):
        """Method, path, query, host and body are passed on unchanged."""
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                url = URL(caller.entry.url + "/desk/a%2Fb//c;d?x=%20+&y", encoded=True)
                headers = {"Host": "desk.example", "Attempt-Id": "a1"}
                async with caller.session.put(
                    url, headers=headers, data=b"body"
                ) as got:
                    assert got.status == 200
        (request,) = server.requests
        assert request.method == "PUT"
        assert request.target == "/desk/a%2Fb//c;d?x=%20+&y"
        assert request.body == b"body"
        assert request.header("Host") == ["desk.example"]

    # Guards against a target that reaches the server without its empty query.
    @pytest.mark.parametrize("target", ["/desk/a?", "/desk/a??", "/desk/?"])
    async def test_empty_query(self, start, target):
        """A `?` at the end of a target is passed on."""
        fields = f"Host: {HOST}\r\nAttempt-Id: a1\r\nConnection: close"
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                entry = URL(caller.entry.url)
                reader, writer = await asyncio.open_connection(entry.host, entry.port)
                writer.write(f"GET {target} HTTP/1.1\r\n{fields}\r\n\r\n".encode())
                status_line = await reader.readline()
                writer.close()
        assert b" 200 " in status_line
        assert [request.target for request in server.requests] == [target]

    async def test_forged(self, start):
        """Headers that only the system sets are dropped from callers' requests."""
        forged = {
            "Retain": "r",
            "Pin-Ms": "4000",
            "Kv-Backup": "10.0.0.1:1",
            "Kv-From": "10.0.0.1:1/x",
            "Target-Instance": "i-9",
            "Tenant": "other",
            "Connection": "X-Private",
            "X-Private": "1",
            "X-Kept": "1",
        }
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                assert (await caller.get(headers=forged))[0] == 200
        (request,) = server.requests
        assert request.header("X-Kept") == ["1"]
        assert request.header("Target-Instance") == ["i-0"]
        for name in ("Retain", "Pin-Ms", "Kv-Backup", "Kv-From", "Tenant", "X-Private"):
            assert request.header(name) == []

    async def test_customer(self, start):
        """A server receives the customer's name but not the API key."""
        tenants = [{"name": "garden", "apiKeys": ["k1"]}]
        closed = route(anonymous=False)
        async with Server(reply()) as server:
            async with start([closed], [server], tenants=tenants) as caller:
                assert (await caller.get(headers={"Api-Key": "k1"}))[0] == 200
                assert (await caller.get(headers={"Api-Key": "k2"}))[0] == 401
                assert (await caller.get())[0] == 401
        (request,) = server.requests
        assert request.header("Tenant") == ["garden"]
        assert request.header("Api-Key") == []

    async def test_deadline(self, start):
        """A server receives the remaining time as the deadline."""
        async with Server(reply()) as server:
            async with start([route(timeoutMs=2000)], [server]) as caller:
                await caller.get()
        (deadline,) = server.requests[0].header("Deadline-Ms")
        assert 1000 < int(deadline) <= 2000

    async def test_chunked_body(self, start):
        """A chunked body is passed on completely."""

        async def parts():
            yield b"one "
            yield b"two"

        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                assert (await caller.get(method="POST", data=parts()))[0] == 200
        assert server.requests[0].body == b"one two"


class TestRefusals:
    """Responses that the entry itself generates."""

    async def test_full_server(self, start):
        """A request that was not run is sent elsewhere even if it is not idempotent."""
        async with Server(refuse()) as full, Server(reply()) as free:
            async with start([ONCE], [full, free]) as caller:
                for _ in range(3):
                    assert (await caller.get(method="POST", data=b"x"))[0] == 200

    async def test_all_full(self, start):
        """If no server runs the request, the response has a Retry-After header."""
        async with Server(refuse()) as full:
            async with start([ONCE], [full]) as caller:
                status, headers, _ = await caller.get(method="POST", data=b"x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0

    async def test_no_route(self, start):
        """A path without a route gives 404."""
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                assert (await caller.get("/other/1"))[0] == 404
        assert server.requests == []

    async def test_longest_prefix(self, start):
        """The route with the longest matching prefix is used."""
        narrow = route("deep", prefix="/desk/deep/", service="deep")
        async with Server(reply(b"wide")) as wide:
            async with start([route(), narrow], [wide]) as caller:
                assert (await caller.get("/desk/deeper/1"))[2] == b"wide"
                short = {"Deadline-Ms": "200"}
                assert (await caller.get("/desk/deep/1", headers=short))[0] == 503

    async def test_large_body(self, start):
        """A body over the limit is refused and sent to no server."""
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                assert (await caller.get(method="POST", data=b"x" * 2000))[0] == 413
        assert server.requests == []

    async def test_malformed(self, start):
        """A malformed header gives 400."""
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                bad = {"Deadline-Ms": "soon"}
                assert (await caller.get(headers=bad))[0] == 400

    async def test_quota(self, start):
        """Requests beyond the customer's limit are refused with 429."""
        tenants = [
            {
                "name": "garden",
                "apiKeys": ["k1"],
                "ratePerS": 1,
                "burstSize": 1,
                "unit": "token_based",
                "uncachedTokens": 4,
            }
        ]
        closed = route(anonymous=False)
        async with Server(reply()) as server:
            async with start([closed], [server], tenants=tenants) as caller:
                key = {"Api-Key": "k1"}
                statuses = [(await caller.get(headers=key))[0] for _ in range(4)]
        assert statuses == [200, 200, 429, 429]

    async def test_timeout(self, start):
        """A request that times out after it may have run gives 504."""

        async def hang(request, writer):
            await asyncio.sleep(60)

        async with Server(hang) as server:
            async with start([ONCE | {"timeoutMs": 200}], [server]) as caller:
                assert (await caller.get())[0] == 504


class TestCallers:
    """Callers that disconnect."""

    async def test_disconnect(self, start):
        """The connection to the server is closed when the caller disconnects."""

        async def hang(request, writer):
            await asyncio.sleep(60)

        async with Server(hang) as server:
            async with start([ONCE], [server]) as caller:
                task = asyncio.create_task(caller.get())
                await caller.entry.until(lambda: server.requests)
                task.cancel()
                async with asyncio.timeout(2):
                    await server.closed.wait()


class TestDecisions:
    """Log events for decisions on a request that is sent to no server."""

    async def test_disconnect_in_queue(self, start, caplog):
        """The log shows why a request waited and that its caller disconnected."""
        caplog.set_level("INFO", "skylarkdoor")

        async def hang(request, writer):
            await asyncio.sleep(60)

        long_timeout = {"timeoutMs": 3000, "targetLatencyMs": 2500}
        async with Server(hang) as server:
            server.slots = 1  # An overcommit of 1.5 makes it two.
            async with start([ONCE | long_timeout], [server]) as caller:
                running = [asyncio.create_task(caller.get()) for _ in range(2)]
                await caller.entry.until(lambda: len(server.requests) == 2)
                waiting = asyncio.create_task(
                    caller.get(headers={"Attempt-Id": "waits"})
                )
                await caller.entry.until(lambda: records_of(caplog, "waits"))
                waiting.cancel()
                await caller.entry.until(lambda: len(records_of(caplog, "waits")) > 1)
                for task in running:
                    task.cancel()
        queued, disconnected = records_of(caplog, "waits")
        assert (queued.event_name, queued.ahead, queued.guards) == (
            "request_queued",
            0,
            0,
        )
        assert queued.patience_ms > 1500
        assert (disconnected.event_name, disconnected.step) == ("request_step", "left")
        assert not hasattr(disconnected, "upstream")


def records_of(caplog, request_id):
    """Return the log records about a request."""
    return [
        record
        for record in caplog.records
        if getattr(record, "request_id", "") == request_id
    ]


class TestOddHeads:
    """Heads with bytes beyond ASCII."""

    # Guards against values that are decoded in one encoding and sent on in another.
    async def test_unchanged(self, start):
        """A header's value reaches the server byte by byte."""
        async with Server(reply()) as server, start([route()], [server]) as caller:
            assert (await caller.get(headers={"Model": "s\u0113klas"}))[0] == 200
        (received,) = server.requests[0].header("Model")
        assert received.encode("latin-1") == "s\u0113klas".encode()

    async def test_no_utf_8(self, start):
        """A head that can't be sent on unchanged is refused."""
        async with Server(reply()) as server, start([route()], [server]) as caller:
            host, _, port = caller.entry.url.rpartition("/")[2].partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = f"GET /desk/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: a1\r\n"
            writer.write(lines.encode() + b"Model: s\xe9klas\r\n\r\n")
            async with asyncio.timeout(3):
                assert (await reader.readline()).startswith(b"HTTP/1.1 400")
            writer.close()
        assert not server.requests
