"""Tests of an entry with low limits before single callers that stay inside them."""

import asyncio

import pytest

from ._crowd import FIELDS, LIMITS

PIECES = 8
PAUSE_S = 0.1
MAX_HEAD = LIMITS["maxHeaderBytes"] - 1
MAX_BODY = LIMITS["maxBodyBytes"] - 1
GET = f"GET /desk/1 HTTP/1.1\r\n{FIELDS}"
POST = f"POST /desk/1 HTTP/1.1\r\n{FIELDS}"
CHUNKED = f"{POST}Transfer-Encoding: chunked\r\n\r\n".encode()


def head(field_bytes):
    """Return the largest head within the limit, of fields of a size in bytes."""
    room = MAX_HEAD - len(f"{GET}\r\n")
    whole = max(1, room // field_bytes)
    sizes = [room - (whole - 1) * field_bytes] + [field_bytes] * (whole - 1)
    fields = (f"X-{number}: ".ljust(size - 2, "y") for number, size in enumerate(sizes))
    text = GET + "".join(f"{field}\r\n" for field in fields) + "\r\n"
    assert len(text) == MAX_HEAD
    return [text.encode()]


def pieces(data, number):
    """Return bytes in a number of pieces."""
    size = -(-len(data) // number)
    return [data[start : start + size] for start in range(0, len(data), size)]


def body(number):
    """Return the largest body within the limit, in a number of pieces."""
    start = f"{POST}Content-Length: {MAX_BODY}\r\n\r\n".encode()
    return pieces(start + b"x" * MAX_BODY, number)


def chunked(size, chunks):
    """Return a body in chunks of a size in bytes."""
    chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    return pieces(CHUNKED + chunk * chunks + b"0\r\n\r\n", PIECES)


CASES = {
    # Guards against bounds on heads that refuse one large field within the limit.
    "head_of_one_field": head(MAX_HEAD),
    # Guards against bounds on heads that refuse some large fields within the limit.
    "head_of_large_fields": head(4000),
    # Guards against bounds on the number of fields of a head within the limit.
    "head_of_small_fields": head(100),
    # Guards against bounds on heads that refuse one that takes some time to arrive.
    "head_in_pieces": pieces(head(4000)[0], PIECES),
    # Guards against bounds on bodies that refuse one within the limit.
    "body": body(1),
    # Guards against bounds on bodies that refuse one that takes some time to arrive.
    "body_in_pieces": body(PIECES),
    # Guards against bounds on what chunks cost that refuse a body of small ones.
    "small_chunks": chunked(64, MAX_BODY // 64),
    # Guards against bounds on what chunks cost that refuse a body of the smallest.
    "chunks_of_one_byte": chunked(1, 64 * 1024),
    # Guards against bounds on empty lines that refuse a request after a single one.
    "empty_line": [b"\r\n" + head(4000)[0]],
}


class TestCalm:
    """An entry before one caller."""

    @pytest.mark.parametrize("name", CASES)
    async def test_single_request(self, entry, name):
        """A request at the limits is served."""
        reader, writer = await asyncio.open_connection(*entry.address)
        for piece in CASES[name]:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        line = await reader.readline()
        writer.close()
        assert line.split(b" ")[1] == b"200", line
