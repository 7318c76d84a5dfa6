"""Reads callers' bodies and writes whole answers, within the bound on held bytes."""

import asyncio
import functools

from aiohttp import web

from skylarkdoor.bounded_http import on_read
from skylarkdoord.direct._bounded_connection import (
    on_answer_complete,
    on_written,
    set_writing_whole,
)
from skylarkdoord.direct._held_bytes import BodyHold, HeldBytes
from skylarkdoord.direct.exceptions import BadCallError
from skylarkdoord.ingress import (
    Chunks,
    give_up_body,
    on_body_complete,
    set_body_timeout,
)

# Bytes of a whole answer that are written at a time.
PIECE_BYTES = 128 * 1024


async def read_body(
    raw: web.BaseRequest, hold: BodyHold, *, max_bytes: int, deadline: float
) -> bytes:
    """Return the whole body of a request.

    The stated length is reserved first, and the body has to arrive before the caller's
    deadline.

    Args:
        raw: The request as received by the HTTP server.
        hold: Holds the bytes of the body.
        max_bytes: Largest body, in bytes.
        deadline: Monotonic time at which the caller stops waiting, in seconds.

    Raises:
        BadCallError: The body is too large, or did not arrive in time.
        MemoryFullError: There is no room for it.
    """
    length = raw.content_length or 0
    check_length(length, max_bytes)
    hold.grow_to(length)
    hold.begin(functools.partial(give_up_body, raw.protocol))
    try:
        async with asyncio.timeout_at(deadline) as timeout:
            set_body_timeout(raw.protocol, timeout)
            return await read_chunks(raw, hold, max_bytes)
    except TimeoutError:
        message = "the body did not arrive in time"
        raise BadCallError(web.HTTPRequestTimeout.status_code, message) from None
    finally:
        set_body_timeout(raw.protocol, None)


async def read_chunks(raw: web.BaseRequest, hold: BodyHold, max_bytes: int) -> bytes:
    """Return the whole body of a request; its bytes count as they arrive.

    Raises:
        BadCallError: The body is too large.
        MemoryFullError: There is no room for it.
    """
    chunks = Chunks()
    size = 0
    on_read(raw.protocol)
    while chunk := await raw.content.readany():
        on_read(raw.protocol)
        size += len(chunk)
        check_length(size, max_bytes)
        hold.held.incomplete.on_received(hold, len(chunk))
        hold.grow_to(size)
        chunks.add(chunk)
    hold.complete()
    on_body_complete(raw.protocol)
    return chunks.join()


def check_length(length: int, max_bytes: int) -> None:
    """Check the length of a body.

    Raises:
        BadCallError: It is too large.
    """
    if length > max_bytes:
        raise BadCallError(
            web.HTTPRequestEntityTooLarge.status_code,
            f"expected a body of at most {max_bytes} bytes",
        )


async def write_whole(
    raw: web.BaseRequest, response: web.StreamResponse, held: HeldBytes
) -> None:
    """Write an answer that is no stream, until the caller has read nearly all of it.

    The HTTP server would write it later, when its bytes no longer count as held.
    """
    if response.prepared or not isinstance(response, web.Response):
        return
    body = response.body if isinstance(response.body, bytes) else b""
    size = len(body)
    held.writing += size
    set_writing_whole(raw.protocol, is_writing=True)
    try:
        await response.prepare(raw)
        if size > PIECE_BYTES:
            response.body = None
            await write_pieces(raw, response, body)
        else:
            on_written(raw.protocol, size)
        on_answer_complete(raw.protocol)
        await response.write_eof()
    finally:
        # The HTTP server keeps the response until the connection's next request.
        response.body = None
        held.writing -= size
        set_writing_whole(raw.protocol, is_writing=False)


async def write_pieces(
    raw: web.BaseRequest, response: web.Response, body: bytes
) -> None:
    """Write a body piece by piece, as the connection copies what is not sent."""
    for start in range(0, len(body), PIECE_BYTES):
        piece = body[start : start + PIECE_BYTES]
        on_written(raw.protocol, len(piece))
        on_answer_complete(raw.protocol)
        await response.write(piece)
