"""Responses to entries, made of upstreams' answers."""

import aiohttp
from aiohttp import web

from skylarkdoord.common import _headers as headers
from skylarkdoord.exceptions import (
    EntryGoneError,
    NotRunError,
    RefusedError,
    UpstreamCutError,
)
from skylarkdoord.sidecar._call import Call
from skylarkdoord.sidecar._claim_rows import WholeAnswer
from skylarkdoord.sidecar._upstream import has_marked_end

FIRST_SERVER_ERROR = 500


async def begin_stream(
    request: web.Request, call: Call, answer: aiohttp.ClientResponse
) -> web.StreamResponse:
    """Begin a stream to the entry with the answer's status and headers."""
    passed = headers.to_caller(answer.headers)
    passed[headers.REQUEST_ID] = call.request_id
    stream = web.StreamResponse(status=answer.status, headers=passed)
    await stream.prepare(request)
    return stream


async def pass_on(stream: web.StreamResponse, chunk: bytes) -> None:
    """Write a chunk, or end the stream after the last one.

    Raises:
        EntryGoneError: The entry closed its connection.
    """
    try:
        if chunk:
            await stream.write(chunk)
        else:
            await stream.write_eof()
    except ConnectionError as error:
        raise EntryGoneError(repr(error)) from error


async def read_whole(answer: aiohttp.ClientResponse) -> WholeAnswer:
    """Return an answer once all of it has come.

    Raises:
        UpstreamCutError: Its end can't be told from a cut.
    """
    if not has_marked_end(answer):
        raise UpstreamCutError("the end of the answer can't be told from a cut")
    body = await answer.read()
    passed = headers.to_caller(answer.headers)
    passed.popall(headers.REQUEST_ID, None)
    return WholeAnswer(answer.status, tuple(passed.items()), body)


def to_remember(response: web.StreamResponse) -> WholeAnswer | None:
    """Return an answer that a resend may get as well."""
    if not isinstance(response, web.Response):
        return None
    if response.status >= FIRST_SERVER_ERROR or not isinstance(response.body, bytes):
        return None
    passed = response.headers.copy()
    passed.popall(headers.REQUEST_ID, None)
    return WholeAnswer(response.status, tuple(passed.items()), response.body)


def whole(call: Call, answer: WholeAnswer, *, replayed: bool = False) -> web.Response:
    """Return the response that gives the entry a whole answer."""
    response = web.Response(status=answer.status, body=answer.body)
    response.headers.extend(answer.headers)
    response.headers[headers.REQUEST_ID] = call.request_id
    if replayed:
        response.headers[headers.REPLAYED] = "true"
    return response


def not_run(error: NotRunError) -> web.Response:
    """Return the response that says that a request was not run."""
    said = {
        "code": error.code,
        "message": error.message,
        "retry_after_s": error.retry_after_s,
        "final": isinstance(error, RefusedError),
    }
    return web.json_response(said, status=503, headers={headers.NOT_RUN: "1"})
