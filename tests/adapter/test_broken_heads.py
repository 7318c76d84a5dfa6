"""Servers whose answers have an invalid head, as bytes on a socket."""

import aiohttp
import pytest

from ._raw_answers import (
    BODY,
    CHUNKED,
    IDEMPOTENT,
    KINDS,
    LENGTH,
    ONCE,
    RESUMABLE,
    SIZE,
    WHOLE_CHUNKS,
    after_interim,
    call,
    check_lost,
    send,
    with_lines,
    with_status,
    with_status_line,
)
from ._standins import SIGNATURE, Server, reply, stream

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
