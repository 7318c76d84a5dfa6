"""Servers whose answers have an invalid head, as bytes on a socket."""

import asyncio

import aiohttp
import pytest

from ._standins import SIGNATURE, Server, chunk, event, reply, route, signed, stream

IDEMPOTENT = route()
ONCE = route(routeType="non_idempotent")
STREAM = route(routeType="streaming")
RESUMABLE = route(routeType="streaming", streamResume=True)
KINDS = {"idempotent": IDEMPOTENT, "once": ONCE, "stream": STREAM}
# An event, so that it is whole also as a stream.
BODY = event(1)
SIZE = b"%d" % len(BODY)
LENGTH = b"Content-Length: " + SIZE
CHUNKED = b"Transfer-Encoding: chunked"
WHOLE_CHUNKS = chunk(BODY) + b"0\r\n\r\n"


def with_status_line(line):
    """Return the answer to a request with a status line."""

    def answer(request):
        _, fields = signed(request, LENGTH.decode()).split(b"\r\n", 1)
        return line + b"\r\n" + fields + BODY

    return answer


def with_status(code):
    """Return the answer to a request with a status code."""
    return with_status_line(b"HTTP/1.1 " + code + b" Status")


def with_lines(*lines, body=BODY, first=False):
    """Return the answer to a request with further lines in its head.

    Args:
        lines: The lines.
        body: Bytes after the head.
        first: Whether they come before all fields.
    """

    def answer(request):
        status_line, fields = signed(request).removesuffix(b"\r\n").split(b"\r\n", 1)
        parts = [*lines, fields] if first else [fields.removesuffix(b"\r\n"), *lines]
        return b"\r\n".join([status_line, *parts]) + (
            b"\r\n" + body if first else b"\r\n\r\n" + body
        )

    return answer


def after_interim(answer):
    """Return an answer after an interim response."""
    return lambda request: b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + answer(request)


STATUSES = {
    repr(code): with_status(code)
    for code in (
        b"000",
        b"00",
        b"0",
        b"001",
        b"099",
        b"20",
        b"2000",
        b"2x0",
        b"+20",
        b"-20",
        b"",
        b"\xd9\xa2\xd9\xa0\xd9\xa0",
        b"100",
        b"101",
        b"199",
        b"600",
        b"999",
    )
}
STATUS_LINES = {
    "no version": with_status_line(b"200 OK"),
    "version 2": with_status_line(b"HTTP/2.0 200 OK"),
    "lower case": with_status_line(b"http/1.1 200 OK"),
    "blank first": with_status_line(b" HTTP/1.1 200 OK"),
    "empty line first": with_status_line(b"\r\nHTTP/1.1 200 OK"),
    "NUL in reason": with_status_line(b"HTTP/1.1 200 O\0K"),
    "CR in reason": with_status_line(b"HTTP/1.1 200 O\rK"),
}
NAMES = {
    "blank": b"X Field: 1",
    "blank at the end": b"X-Field : 1",
    "blank first": b" X-Field: 1",
    "tab": b"X\tField: 1",
    "tab first": b"\tX-Field: 1",
    "NUL": b"X\0Field: 1",
    "BEL": b"X\x07Field: 1",
    "VT": b"X\x0bField: 1",
    "CR": b"X\rField: 1",
    "LF": b"X\nField: 1",
    "DEL": b"X\x7fField: 1",
    "above 127": b"X\xe9Field: 1",
    "no colon": b"X-Field",
    "empty": b": 1",
    "parentheses": b"X(Field): 1",
}
VALUES = {
    "NUL": b"X-Field: a\0b",
    "BEL": b"X-Field: a\x07b",
    "CR": b"X-Field: a\rb",
    "DEL": b"X-Field: a\x7fb",
    "ESC": b"X-Field: \x1b[0m",
}
FRAMINGS = {
    "coding with a blank beside chunked": with_lines(
        b"Transfer-Encoding : chunked", CHUNKED, body=WHOLE_CHUNKS
    ),
    "length with a blank": with_lines(b"Content-Length : " + SIZE),
    "two lengths": with_lines(b"Content-Length: 3", LENGTH),
    "list of lengths": with_lines(b"Content-Length: 3, " + SIZE),
    "sign": with_lines(b"Content-Length: +" + SIZE),
    "negative": with_lines(b"Content-Length: -" + SIZE),
    "hexadecimal": with_lines(b"Content-Length: 0x" + SIZE),
    "underscore": with_lines(b"Content-Length: 0_" + SIZE),
    "empty length": with_lines(b"Content-Length:"),
    "folded length": with_lines(LENGTH, b" 0"),
    "length and chunked": with_lines(LENGTH, CHUNKED, body=WHOLE_CHUNKS),
    "chunked and length": with_lines(CHUNKED, LENGTH, body=WHOLE_CHUNKS),
    "gzip": with_lines(b"Transfer-Encoding: gzip"),
    "gzip and chunked": with_lines(
        b"Transfer-Encoding: gzip, chunked", body=WHOLE_CHUNKS
    ),
    "chunked and gzip": with_lines(
        b"Transfer-Encoding: chunked, gzip", body=WHOLE_CHUNKS
    ),
    "chunked twice": with_lines(
        b"Transfer-Encoding: chunked, chunked", body=WHOLE_CHUNKS
    ),
    "two codings": with_lines(
        CHUNKED, b"Transfer-Encoding: identity", body=WHOLE_CHUNKS
    ),
    "identity": with_lines(b"Transfer-Encoding: identity"),
    "xchunked": with_lines(b"Transfer-Encoding: xchunked", body=WHOLE_CHUNKS),
    "empty coding": with_lines(b"Transfer-Encoding:"),
    "interim with a length": lambda request: (
        b"HTTP/1.1 103 Early\r\nContent-Length: 9\r\n\r\n" + with_lines(LENGTH)(request)
    ),
    "interim with chunks": lambda request: (
        b"HTTP/1.1 150 Early\r\nTransfer-Encoding: chunked\r\n\r\n"
        + with_lines(LENGTH)(request)
    ),
}
BROKEN = {
    **{f"status {name}": answer for name, answer in STATUSES.items()},
    **{f"status line, {name}": answer for name, answer in STATUS_LINES.items()},
    **{f"name, {name}": with_lines(line, LENGTH) for name, line in NAMES.items()},
    **{
        f"name in the first line, {name}": with_lines(line, LENGTH, first=True)
        for name, line in NAMES.items()
    },
    **{
        f"name after the length, {name}": with_lines(LENGTH, line)
        for name, line in NAMES.items()
    },
    **{f"value, {name}": with_lines(line, LENGTH) for name, line in VALUES.items()},
    **{f"framing, {name}": answer for name, answer in FRAMINGS.items()},
    "after an interim response, status 000": after_interim(STATUSES["b'000'"]),
    "after an interim response, blank": after_interim(
        with_lines(b"X Field: 1", LENGTH)
    ),
    "interim response with a blank": lambda request: (
        b"HTTP/1.1 103 Early\r\nX Field: 1\r\n\r\n" + with_lines(LENGTH)(request)
    ),
    "refusal with a blank": with_lines(b"Not-Executed: 1", b"X Field: 1", LENGTH),
    "refusal with status 000": lambda request: STATUSES["b'000'"](request).replace(
        b"\r\n", b"\r\nNot-Executed: 1\r\n", 1
    ),
}
SOUND = {
    "status 299": with_status(b"299"),
    "status 499": with_status(b"499"),
    "status 599": with_status(b"599"),
    "no reason": with_status_line(b"HTTP/1.1 200 "),
    "no blank after the status": with_status_line(b"HTTP/1.1 200"),
    "HTTP/1.0": with_status_line(b"HTTP/1.0 200 OK"),
    "bytes above 127 in a value": with_lines(b"X-Field: caf\xe9 \xff", LENGTH),
    "tab in a value": with_lines(b"X-Field: a\tb", LENGTH),
    "empty value": with_lines(b"X-Field:", LENGTH),
    "all characters of a name": with_lines(b"!#$%&'*+-.^_`|~09Az: 1", LENGTH),
    "blanks around a value": with_lines(b"X-Field: \t 1 \t", LENGTH),
    "lines that end with LF": lambda request: with_lines(LENGTH)(request).replace(
        b"\r\n", b"\n"
    ),
    "chunked": with_lines(CHUNKED, body=WHOLE_CHUNKS),
    "Chunked": with_lines(b"transfer-encoding: Chunked ", body=WHOLE_CHUNKS),
    "until close": with_lines(b"X-Field: 1"),
    "after an interim response": after_interim(with_lines(LENGTH)),
    "after a status without a name": lambda request: (
        b"HTTP/1.1 150 Early\r\n\r\n" + with_lines(LENGTH)(request)
    ),
}


def send(answer, pieces=1):
    """Return a script that sends an answer, perhaps byte by byte, and closes."""

    async def script(request, writer):
        data = answer(request)
        size = -(-len(data) // pieces)
        for at in range(0, len(data), size):
            writer.write(data[at : at + size])
            await writer.drain()
            await asyncio.sleep(0)
        await asyncio.sleep(0.02)

    return script


async def call(caller, attempt="a1", **options):
    """Send a request; return status, fields and body of the answer."""
    async with caller.request(
        "/desk/1", "POST", headers={"Attempt-Id": attempt}, **options
    ) as response:
        return response.status, response.headers, await response.read()


def check_lost(status, fields, body):
    """Check that an answer states that the outcome is unknown, and no more."""
    assert status == 502
    assert b"outcome_unknown" in body
    assert BODY not in body
    assert "Server-Signature" not in fields
    assert not any("field" in name.lower() for name in fields)


class TestBrokenHeads:
    """Answers with an invalid head."""

    # Guards against the incident: clients got answers with status 000, with a blank or
    # a control byte in a field's name, or with a body that was not the server's.
    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("name", BROKEN)
    async def test_not_passed_on(self, start, kind, name):
        """The outcome is unknown, and what may run once runs once."""
        async with Server(send(BROKEN[name])) as server:
            async with start([KINDS[kind]], [server]) as caller:
                check_lost(*await call(caller))
                assert len(server.requests) == (2 if kind == "idempotent" else 1)

    @pytest.mark.parametrize("name", BROKEN)
    async def test_byte_by_byte(self, start, name):
        """The size of the segments makes no difference."""
        async with Server(send(BROKEN[name], pieces=10_000)) as server:
            async with start([ONCE], [server]) as caller:
                check_lost(*await call(caller))
                assert len(server.requests) == 1

    # Guards against an end of the stream that looks complete.
    @pytest.mark.parametrize("name", BROKEN)
    async def test_resumed_stream(self, start, name):
        """A stream that was to go on is broken off after its last event."""
        begin = stream((1, 2, 3), is_cut=True)
        broken = send(BROKEN[name])

        async def script(request, writer):
            resumed = request.header("Last-Event-Id")
            await (broken if resumed else begin)(request, writer)

        async with Server(script) as one, Server(script) as two:
            async with start([RESUMABLE], [one, two]) as caller:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await call(caller)

    async def test_counts_as_failing(self, start):
        """A server with invalid heads is avoided, as one that loses its answers."""
        async with Server(send(STATUSES["b'000'"])) as broken, Server(reply()) as sound:
            async with start([IDEMPOTENT], [broken, sound]) as caller:
                for number in range(10):
                    assert (await call(caller, f"a{number}"))[0] == 200
                assert len(broken.requests) <= 1
                assert len(sound.requests) == 10

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("pieces", [1, 10_000])
    @pytest.mark.parametrize("name", SOUND)
    async def test_sound(self, start, name, kind, pieces):
        """Unusual but valid heads are passed on."""
        async with Server(send(SOUND[name], pieces)) as server:
            async with start([KINDS[kind]], [server]) as caller:
                _, fields, body = await call(caller)
        assert body == BODY
        assert fields["Server-Signature"] == SIGNATURE


class TestWithoutBody:
    """Answers of which the status allows no body, with one."""

    # Guards against bytes that are taken for a part of an answer.
    @pytest.mark.parametrize("kind", ["idempotent", "once"])
    @pytest.mark.parametrize("pieces", [1, 10_000])
    @pytest.mark.parametrize("status", ["204 None", "304 Same"])
    @pytest.mark.parametrize("framing", [LENGTH, CHUNKED, b"X-Field: 1"])
    async def test_body(self, start, kind, pieces, status, framing):
        """The body is dropped, or the answer is lost."""

        def answer(request):
            return signed(request, framing.decode(), status=status) + WHOLE_CHUNKS

        async with Server(send(answer, pieces)) as server:
            async with start([KINDS[kind]], [server]) as caller:
                got, fields, body = await call(caller)
                if got != 502:
                    assert (got, body) == (int(status[:3]), b"")
                    assert fields["Server-Signature"] == SIGNATURE
                else:
                    check_lost(got, fields, body)


class TestTrailers:
    """Chunked answers with fields after the body."""

    @staticmethod
    def answer(trailer):
        """Return a chunked answer that ends with lines."""
        chunks = chunk(BODY) + b"0\r\n" + trailer + b"\r\n"
        return with_lines(CHUNKED, body=chunks)

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("trailer", [b"X-Field: 1\r\n", b"A: b\r\nC: d\r\n"])
    async def test_valid(self, start, kind, trailer):
        """They are dropped."""
        async with Server(send(self.answer(trailer))) as server:
            async with start([KINDS[kind]], [server]) as caller:
                status, fields, body = await call(caller)
        assert (status, body) == (200, BODY)
        assert "X-Field" not in fields

    @pytest.mark.parametrize("pieces", [1, 10_000])
    @pytest.mark.parametrize("kind", ["idempotent", "once"])
    @pytest.mark.parametrize(
        "trailer",
        [
            b"X Field: 1\r\n",
            b"X-Field\r\n",
            b" X-Field: 1\r\n",
            b"Content-Length: 3\r\n",
            b"Transfer-Encoding: gzip\r\n",
            b"Not-Executed: 1\r\n",
            b"HTTP/1.1 500 Error\r\n",
        ],
    )
    async def test_invalid(self, start, kind, pieces, trailer):
        """The answer is whole, or lost."""
        async with Server(send(self.answer(trailer), pieces)) as server:
            async with start([KINDS[kind]], [server]) as caller:
                status, fields, body = await call(caller)
        assert "Not-Executed" not in fields
        if status == 200:
            assert body == BODY
        else:
            check_lost(status, fields, body)
