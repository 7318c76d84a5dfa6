"""Answers of servers as bytes on a socket, and what callers get of them."""

import asyncio

from ._standins import chunk, event, route, signed

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
        status_line, *fields = signed(request).split(b"\r\n")[:-2]
        listed = [*lines, *fields] if first else [*fields, *lines]
        return b"\r\n".join([status_line, *listed, b"", body])

    return answer


def after_interim(answer):
    """Return an answer after an interim response."""
    return lambda request: b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + answer(request)


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
