"""Builds the responses that a sidecar sends to entries."""

import aiohttp
from aiohttp import web

from skylarkdoor.bounded_http import BodyBudget
from skylarkdoord.common import _headers as headers
from skylarkdoord.exceptions import (
    EntryGoneError,
    NotRunError,
    RefusedError,
    UpstreamCutError,
)
from skylarkdoord.sidecar._call import Call
from skylarkdoord.sidecar._claim_rows import CompleteAnswer
from skylarkdoord.sidecar._upstream import can_detect_truncation

FIRST_SERVER_ERROR = 500


async def begin_stream(
    request: web.Request, call: Call, answer: aiohttp.ClientResponse
) -> web.StreamResponse:
    """Start a streamed response with the status and headers of an answer."""
    passed = headers.caller_headers(answer.headers)
    passed[headers.REQUEST_ID] = call.request_id
    stream = web.StreamResponse(status=answer.status, headers=passed)
    await stream.prepare(request)
    return stream


async def relay_chunk(stream: web.StreamResponse, chunk: bytes) -> None:
    """Write a chunk to the entry; an empty chunk ends the stream.

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


async def read_complete(
    answer: aiohttp.ClientResponse, bodies: BodyBudget
) -> CompleteAnswer:
    """Read an answer to its end.

    Args:
        answer: The answer.
        bodies: Bounds its body.

    Raises:
        aiohttp.ClientError: The body is truncated or too large.
        UpstreamCutError: The answer has neither a length nor chunked encoding, so a
            truncated answer can't be detected.
    """
    if not can_detect_truncation(answer):
        raise UpstreamCutError(
            "the answer has no length and no chunked encoding; it may be truncated"
        )
    body = await bodies.read(answer)
    passed = headers.caller_headers(answer.headers)
    passed.popall(headers.REQUEST_ID, None)
    return CompleteAnswer(answer.status, tuple(passed.items()), body)


def to_stored_answer(response: web.StreamResponse) -> CompleteAnswer | None:
    """Return a response in the form stored for retries, None if it isn't stored.

    Streams and server errors aren't stored.
    """
    if not isinstance(response, web.Response):
        return None
    if response.status >= FIRST_SERVER_ERROR or not isinstance(response.body, bytes):
        return None
    passed = response.headers.copy()
    passed.popall(headers.REQUEST_ID, None)
    return CompleteAnswer(response.status, tuple(passed.items()), response.body)


def complete_response(
    call: Call, answer: CompleteAnswer, *, replayed: bool = False
) -> web.Response:
    """Return the response to the entry for a complete answer.

    Args:
        call: The call.
        answer: The answer to the call.
        replayed: Whether the answer is that of an earlier run.
    """
    response = web.Response(status=answer.status, body=answer.body)
    response.headers.extend(answer.headers)
    response.headers[headers.REQUEST_ID] = call.request_id
    if replayed:
        response.headers[headers.REPLAYED] = "true"
    return response


def not_run(request_id: str, error: NotRunError) -> web.Response:
    """Return the response that reports that a request was not run."""
    document = {
        "code": error.code,
        "message": error.message,
        "retry_after_s": error.retry_after_s,
        "final": isinstance(error, RefusedError),
    }
    marks = {headers.NOT_RUN: "1", headers.REQUEST_ID: request_id}
    return web.json_response(document, status=503, headers=marks)
