"""HTTP client for single calls on loopback, bounded in bytes and time.

The HTTP client of the standard library is sufficient for them; aiohttp would increase a
guard's memory by half. But it accepts bodies of any size, any number of interim
responses and many invalid heads, and its timeout holds for each part of a response.
"""

import http.client
import io
import socket
import time
from typing import Any

from skylarkdoor.failures import DescribedError, reason
from skylarkdoor.response_heads import InvalidHeadError, ResponseHeads

# Largest response with its head, in bytes.
MAX_RESPONSE_BYTES = 256 * 1024
# Timeout of the connection and of each part of a response.
PART_TIMEOUT_S = 0.5
# Longest time for a whole response.
RESPONSE_TIMEOUT_S = 2.0


class ResponseTooLargeError(http.client.HTTPException):
    """A response has more than `MAX_RESPONSE_BYTES`."""


class InvalidResponseError(DescribedError, http.client.HTTPException):
    """The head of a response is not valid HTTP."""


class BoundedReader(io.RawIOBase):
    """Reads a response from a socket until it is invalid, too large or takes too long.

    Args:
        sock: The socket.

    Attributes:
        remaining: Most bytes that may still arrive.
        ends_at: Monotonic time at which the response must be complete, in seconds.
        heads: Checks the head of the response.
    """

    def __init__(self, sock: socket.socket) -> None:
        # The file keeps the connection open when the client closes the socket early.
        self.file = sock.makefile("rb", buffering=0)
        self.remaining = MAX_RESPONSE_BYTES
        self.ends_at = time.monotonic() + RESPONSE_TIMEOUT_S
        self.heads = ResponseHeads()

    def readable(self) -> bool:
        """Return that it can be read."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes that have arrived, or wait for some; return their number.

        Raises:
            InvalidResponseError: The head is invalid.
            ResponseTooLargeError: The response is too large.
            TimeoutError: No bytes arrived in time, or the response takes too long.
        """
        if self.remaining <= 0:
            raise ResponseTooLargeError("the response is too large")
        if time.monotonic() >= self.ends_at:
            raise TimeoutError("the response takes too long")
        size = self.file.readinto(memoryview(buffer)[: self.remaining])
        received = bytes(buffer[: size or 0])
        self.remaining -= len(received)
        self.check_head(received)
        return size

    def check_head(self, data: bytes) -> None:
        """Check received bytes as far as they belong to the head.

        Raises:
            InvalidResponseError: The head is invalid.
        """
        try:
            self.heads.feed(data)
        except InvalidHeadError as error:
            raise InvalidResponseError(str(error)) from None

    def close(self) -> None:
        """Close the connection, unless the client keeps it."""
        self.file.close()
        super().close()


class BoundedFile(io.BufferedReader):
    """A buffered response.

    A response may state any length, for which a plain buffer would allocate memory.
    """

    def read(self, size: int | None = -1, /) -> bytes:
        """Read up to a number of bytes; all bytes if it is -1.

        Raises:
            ResponseTooLargeError: The response is too large.
        """
        return super().read(None if size is None else min(size, MAX_RESPONSE_BYTES + 1))


class BoundedResponse(http.client.HTTPResponse):
    """A response that is read through a `BoundedReader`."""

    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        self.fp.close()
        self.fp = BoundedFile(BoundedReader(sock))


class PlainClient:
    """Makes calls to one address, over a connection that stays open.

    Args:
        address: The server's `host:port`.
    """

    def __init__(self, address: str) -> None:
        self.connection = http.client.HTTPConnection(address, timeout=PART_TIMEOUT_S)
        self.connection.response_class = BoundedResponse

    def get(self, path: str) -> bytes:
        """Return the body of the response to a GET request, whatever its status.

        Raises:
            HTTPException: The response is not valid HTTP, or is too large.
            OSError: The server can't be reached or does not answer in time.
        """
        try:
            self.connection.request("GET", path)
            return self.connection.getresponse().read()
        except (http.client.HTTPException, OSError):
            self.connection.close()
            raise
        except (ValueError, OverflowError) as error:
            # Lengths that are no lengths.
            self.connection.close()
            raise http.client.HTTPException(reason(error)) from None

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()
