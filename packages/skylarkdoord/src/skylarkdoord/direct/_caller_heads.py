"""Reads the heads of callers' requests."""

from typing import NamedTuple

from aiohttp import web

from skylarkdoord.direct._adapter import RawHead
from skylarkdoord.direct.exceptions import BadCallError

# A colon, a space and a line end in each header field.
FIELD_EXTRA_BYTES = 4


class SizedHead(NamedTuple):
    """The head of a request.

    Attributes:
        raw: Its parts as they were received.
        size: Size of its header fields, in bytes.
    """

    raw: RawHead
    size: int


def read_head(raw: web.BaseRequest, *, max_bytes: int) -> SizedHead:
    """Return the head of a request.

    Args:
        raw: The request as received by the HTTP server.
        max_bytes: Largest size of its header fields, in bytes.

    Raises:
        BadCallError: It is malformed, or its header fields are too large.
    """
    fields = raw.raw_headers
    size = sum(len(name) + len(value) + FIELD_EXTRA_BYTES for name, value in fields)
    if size > max_bytes:
        message = "the header fields are too large"
        raise BadCallError(web.HTTPRequestHeaderFieldsTooLarge.status_code, message)
    # The HTTP client writes header values as UTF-8.
    try:
        headers = tuple(
            (name.decode("ascii"), value.decode()) for name, value in fields
        )
    except UnicodeDecodeError:
        raise BadCallError(400, "headers: expected UTF-8") from None
    return SizedHead(RawHead(raw.method, raw.raw_path, headers), size)
