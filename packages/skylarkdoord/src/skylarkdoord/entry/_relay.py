"""Passes an answer on to its caller, whole or as a stream."""

import json
import time

import aiohttp
from aiohttp import HttpVersion11, web
from multidict import CIMultiDict
from prometheus_client import Counter

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.common import _headers as headers
from skylarkdoord.entry._delivery import Delivery
from skylarkdoord.entry._request import EntryRequest
from skylarkdoord.exceptions import OutcomeUnknownError

EVENT_STREAM = "text/event-stream"
EVENT_MARK = b"data:"
FIRST_ERROR_STATUS = 400
CUT_EVENT = (
    b'\n\ndata: {"error": {"code": "answer_cut", "type": "server_error", '
    b'"message": "the answer was cut", "not_run": false}}\n\n'
)

GOODPUT_REQUESTS = Counter(
    "skylarkdoor_goodput_requests_total",
    "Requests answered without an error, in full and in time.",
    ["tier"],
)
GOODPUT_TOKENS = Counter(
    "skylarkdoor_goodput_tokens_total",
    "Prompt and generated tokens of those requests.",
    ["tier"],
)


class Relay:
    """Passes one answer on.

    Args:
        raw: The caller's request.
        request: The same as the entry handles it.
        delivery: The delivery whose answer has begun.
    """

    def __init__(
        self, raw: web.Request, request: EntryRequest, delivery: Delivery
    ) -> None:
        self.raw = raw
        self.request = request
        self.delivery = delivery
        self.answer = delivery.answer
        self.generated_tokens = 0
        self.whole = False
        self.log = events.get_logger("entry.relay")

    async def run(self) -> web.StreamResponse:
        """Pass the answer on to its end, or cut the caller's connection.

        Raises:
            OutcomeUnknownError: The answer was cut before anything was sent.
        """
        if self.answer.content_type == EVENT_STREAM:
            response = await self.relay_stream()
        else:
            response = await self.relay_whole()
        if self.whole:
            self.count_goodput()
        return response

    async def relay_whole(self) -> web.Response:
        """Read the whole answer before any of it is passed on.

        Raises:
            OutcomeUnknownError: It was cut.
        """
        try:
            body = await self.delivery.read_whole()
        except (aiohttp.ClientError, TimeoutError):
            raise OutcomeUnknownError("the answer was cut") from None
        self.generated_tokens = _completion_tokens(body) if self.request.model else 0
        self.whole = True
        return web.Response(
            status=self.answer.status, headers=self.headers(), body=body
        )

    async def relay_stream(self) -> web.StreamResponse:
        """Pass events on as they come; one chunk is held at a time."""
        response = web.StreamResponse(status=self.answer.status, headers=self.headers())
        await response.prepare(self.raw)
        try:
            while chunk := await self.delivery.read_chunk():
                self.generated_tokens += chunk.count(EVENT_MARK)
                await response.write(chunk)
        except aiohttp.ClientConnectionResetError:
            # The caller went; there is nobody to tell.
            return response
        except (aiohttp.ClientError, TimeoutError) as error:
            self.log.event(
                _events.ANSWER_CUT,
                request_id=self.request.request_id,
                error=repr(error),
            )
            await self.cut(response)
            return response
        await response.write_eof()
        self.whole = True
        return response

    async def cut(self, response: web.StreamResponse) -> None:
        """End the caller's connection so that it can't pass for a whole answer."""
        transport = self.raw.transport
        if transport is None:
            return
        if self.raw.version < HttpVersion11:
            # Without chunks, only a reset tells a cut from an end.
            transport.abort()
            return
        try:
            await response.write(CUT_EVENT)
        except ConnectionError:
            pass
        transport.close()

    def headers(self) -> CIMultiDict[str]:
        """Return the answer's headers for the caller."""
        passed = headers.to_caller(self.answer.headers)
        passed[headers.REQUEST_ID] = self.request.request_id
        return passed

    def count_goodput(self) -> None:
        """Count the request if it was answered well and in time."""
        in_time = time.monotonic() <= self.request.deadline_at
        if not in_time or self.answer.status >= FIRST_ERROR_STATUS:
            return
        tier = str(self.request.resolved.tier.rank)
        GOODPUT_REQUESTS.labels(tier).inc()
        tokens = self.request.prompt_tokens + self.generated_tokens
        GOODPUT_TOKENS.labels(tier).inc(tokens)


def _completion_tokens(body: bytes) -> int:
    try:
        return int(json.loads(body)["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return 0
