"""Answers as server-sent events or in one piece."""

import json
from typing import Any

from aiohttp import web

from skylarkdoor_standins.engine._batcher import Batcher
from skylarkdoor_standins.engine._completions import AnswerForm
from skylarkdoor_standins.engine._sequence import Sequence


async def answer_whole(
    form: AnswerForm, sequence: Sequence, headers: dict[str, str]
) -> web.Response:
    """Return the answer once all of it is decoded."""
    words = []
    while (word := await sequence.next_token()) is not None:
        words.append(word)
    return web.json_response(form.whole(" ".join(words)), headers=headers)


async def answer_stream(
    request: web.Request,
    form: AnswerForm,
    sequence: Sequence,
    batcher: Batcher,
    headers: dict[str, str],
) -> web.StreamResponse:
    """Send the answer token by token, or cut it where a fault asks for that."""
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    await response.prepare(request)
    cut_after = batcher.faults.take_cut()
    sent = 0
    while (word := await sequence.next_token()) is not None:
        if sent == cut_after:
            _cut(request)
            return response
        text = word if not sent else f" {word}"
        sent += 1
        chunk = form.chunk(text, is_last=sent == sequence.max_tokens)
        await response.write(_event(chunk))
    if form.request.has_usage:
        await response.write(_event(form.usage_chunk()))
    await response.write(b"data: [DONE]\n\n")
    await response.write_eof()
    return response


def _event(data: Any) -> bytes:
    return f"data: {json.dumps(data, separators=(',', ':'))}\n\n".encode()


def _cut(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
