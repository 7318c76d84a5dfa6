"""Receives the bodies of callers' requests."""

import asyncio

from aiohttp import web

from skylarkdoor.bounded_http import on_read
from skylarkdoor.settings import Limits
from skylarkdoord.entry._admission import overloaded_error
from skylarkdoord.entry._parse import BadRequestError
from skylarkdoord.entry._reception import Reception, Receptions
from skylarkdoord.ingress import (
    Chunks,
    give_up_body,
    on_body_complete,
    set_body_timeout,
)


async def read_body(
    raw: web.Request, tier: int, receptions: Receptions, limits: Limits
) -> bytes:
    """Return the complete body of a request.

    Args:
        raw: The request as received by the HTTP server.
        tier: Rank of its tier.
        receptions: All bodies that are being received.
        limits: Limits of this process.

    Raises:
        BadRequestError: The body was not received in time.
        HTTPRequestEntityTooLarge: The body is too large.
        RefusedError: There is no room for the body.
    """
    is_shed = False

    def shed() -> None:
        nonlocal is_shed
        is_shed = True
        give_up_body(raw.protocol)

    try:
        async with asyncio.timeout(limits.body_timeout_s) as timeout:
            set_body_timeout(raw.protocol, timeout)
            with receptions.receive(tier, shed) as reception:
                return await read_chunks(raw, reception, limits.max_body_bytes)
    except TimeoutError:
        if is_shed:
            raise overloaded_error() from None
        raise BadRequestError(
            408, "body_timeout", "the request body was not received in time"
        ) from None
    finally:
        set_body_timeout(raw.protocol, None)


async def read_chunks(raw: web.Request, reception: Reception, max_bytes: int) -> bytes:
    """Return the complete body; its stated length is reserved first.

    Raises:
        HTTPRequestEntityTooLarge: The body is too large.
        RefusedError: There is no room for it.
    """
    check_size(raw.content_length or 0, max_bytes)
    reception.grow_to(raw.content_length or 0)
    chunks = Chunks()
    size = 0
    on_read(raw.protocol)
    while chunk := await raw.content.readany():
        on_read(raw.protocol)
        size += len(chunk)
        check_size(size, max_bytes)
        reception.on_received(len(chunk))
        reception.grow_to(size)
        chunks.add(chunk)
    on_body_complete(raw.protocol)
    return chunks.join()


def check_size(size: int, max_bytes: int) -> None:
    """Check the size of a body.

    Raises:
        HTTPRequestEntityTooLarge: It is too large.
    """
    if size > max_bytes:
        raise web.HTTPRequestEntityTooLarge(max_size=max_bytes, actual_size=size)
