"""Completion responses, whole or streamed as server-sent events."""

import json
from typing import Any

from aiohttp import web

from skylarkdoor_standins.engine._batcher import Batcher
from skylarkdoor_standins.engine._completions import ResponseBuilder
from skylarkdoor_standins.engine._sequence import Sequence


async def build_full_response(
    builder: ResponseBuilder, sequence: Sequence, headers: dict[str, str]
) -> web.Response:
    """Return the whole response once all tokens are generated."""
    tokens = []
    while (token := await sequence.next_token()) is not None:
        tokens.append(token)
    return web.json_response(builder.full_response(" ".join(tokens)), headers=headers)


async def send_stream_response(
    request: web.Request,
    builder: ResponseBuilder,
    sequence: Sequence,
    batcher: Batcher,
    headers: dict[str, str],
) -> web.StreamResponse:
    """Send the response token by token; abort the connection if a fault requires it."""
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    await response.prepare(request)
    cut_after = batcher.faults.take_stream_cut()
    sent_chunks = 0
    while (token := await sequence.next_token()) is not None:
        if sent_chunks == cut_after:
            _abort_connection(request)
            return response
        text = token if not sent_chunks else f" {token}"
        sent_chunks += 1
        chunk = builder.chunk(text, is_last=sent_chunks == sequence.max_tokens)
        await response.write(_encode_event(chunk))
    if builder.request.include_usage:
        await response.write(_encode_event(builder.usage_chunk()))
    await response.write(b"data: [DONE]\n\n")
    await response.write_eof()
    return response


def _encode_event(data: Any) -> bytes:
    return f"data: {json.dumps(data, separators=(',', ':'))}\n\n".encode()


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
