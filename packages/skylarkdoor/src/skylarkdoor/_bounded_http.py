"""HTTP sessions and bodies that are bounded, whatever the other side sends.

aiohttp's `read` accepts a body of any size.
"""

from typing import Any

import aiohttp
from aiohttp.http import HttpProcessingError

from skylarkdoor import untrusted_json
from skylarkdoor._byte_bound import on_read
from skylarkdoor._client_connections import BoundedConnector
from skylarkdoor.failures import reason

MIB = 1024 * 1024
# Bytes of a response that are received before they are read; up to twice as many are
# held.
READ_BUFFER_BYTES = 64 * 1024
# Largest body unless a caller states another limit.
MAX_BODY_BYTES = 8 * MIB
# Most bytes of bodies that one budget admits at a time.
MAX_TOTAL_BYTES = 32 * MIB


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body has more bytes than its reader accepts."""


class BodyBudget:
    """Bounds the bodies that are received at the same time.

    Args:
        max_body_bytes: Largest body, in bytes.
        max_total_bytes: Most bytes of all bodies together.

    Attributes:
        used: Bytes of the bodies that are being received.
    """

    def __init__(
        self,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_total_bytes = max_total_bytes
        self.used = 0

    def add(self, received: int, body: int) -> None:
        """Count received bytes.

        Args:
            received: The bytes.
            body: Bytes of their body so far, including these.

        Raises:
            BodyTooLargeError: The body, or all bodies together, are too large.
        """
        self.used += received
        if body > self.max_body_bytes:
            raise BodyTooLargeError("the response is too large")
        if self.used > self.max_total_bytes:
            raise BodyTooLargeError("all responses together are too large")

    def release(self, body: int) -> None:
        """Stop counting a body that was received, or given up."""
        self.used -= body

    async def read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the complete body of a response.

        Raises:
            aiohttp.ClientError: The body is incomplete.
            BodyTooLargeError: The body, or all bodies together, are too large.
        """
        chunks = []
        size = 0
        try:
            while chunk := await read_chunk(response):
                chunks.append(chunk)
                size += len(chunk)
                self.add(len(chunk), size)
            return b"".join(chunks)
        finally:
            self.release(size)
            # The traceback of an error would keep them.
            chunks.clear()


def open_session(
    *, connector: BoundedConnector | None = None, **options: Any
) -> aiohttp.ClientSession:
    """Return a client session whose connections are bounded.

    Args:
        connector: Connector of the session; None for one with no limit on the number
            of connections.
        options: Further options of `aiohttp.ClientSession`.
    """
    return aiohttp.ClientSession(
        connector=connector or BoundedConnector(limit=0),
        **{"read_bufsize": READ_BUFFER_BYTES} | options,
    )


async def read_chunk(response: aiohttp.ClientResponse) -> bytes:
    """Return the next bytes of a body; empty at its end.

    Raises:
        aiohttp.ClientError: The body is incomplete.
    """
    connection = response.connection
    protocol = connection.protocol if connection else None
    try:
        chunk = await response.content.readany()
    except HttpProcessingError as error:
        # From the uncompiled parser, if it fails while a reader waits.
        raise aiohttp.ClientPayloadError(reason(error)) from None
    on_read(protocol)
    return chunk


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the complete body of a response.

    Raises:
        aiohttp.ClientError: The body is incomplete.
        BodyTooLargeError: The body has more than `max_bytes`.
    """
    return await BodyBudget(max_bytes, max_bytes).read(response)


async def read_json(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> dict[str, Any]:
    """Return the JSON object in the body of a response.

    Raises:
        aiohttp.ClientError: The body is incomplete.
        BodyTooLargeError: The body has more than `max_bytes`.
        ValueError: The body is no JSON object.
    """
    value = untrusted_json.loads(await read_body(response, max_bytes))
    if not isinstance(value, dict):
        raise ValueError("expected a JSON object")
    return value
