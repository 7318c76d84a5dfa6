"""Relays an upstream's answer to the caller, buffered or as a stream."""

import time

import aiohttp
from aiohttp import HttpVersion11, web
from multidict import CIMultiDict
from prometheus_client import Counter

from skylarkdoor import events, untrusted_json
from skylarkdoor.event_stream import EventSplitter, is_event
from skylarkdoor.exceptions import EventStreamError
from skylarkdoor.failures import reason
from skylarkdoord import _events
from skylarkdoord.common import _headers as headers
from skylarkdoord.entry._delivery import Delivery
from skylarkdoord.entry._request import EntryRequest
from skylarkdoord.exceptions import OutcomeUnknownError

EVENT_STREAM = "text/event-stream"
EVENT_PREFIX = b"data:"
FIRST_ERROR_STATUS = 400
# Largest event of a stream, in bytes.
MAX_EVENT_BYTES = 1024 * 1024
TRUNCATION_EVENT = (
    b'data: {"error": {"code": "answer_cut", "type": "server_error", '
    b'"message": "the answer was cut", "not_run": false}}\n\n'
)

GOODPUT_REQUESTS = Counter(
    "skylarkdoor_goodput_requests_total",
    "Requests answered completely, without an error and before their deadline.",
    ["tier"],
)
GOODPUT_TOKENS = Counter(
    "skylarkdoor_goodput_tokens_total",
    "Prompt and generated tokens of the requests counted as goodput.",
    ["tier"],
)


class Relay:
    """Relays one answer to its caller.

    Args:
        raw: The caller's HTTP request.
        request: The entry's representation of it.
        delivery: The delivery whose answer has started.
    """

    def __init__(
        self, raw: web.Request, request: EntryRequest, delivery: Delivery
    ) -> None:
        self.raw = raw
        self.request = request
        self.delivery = delivery
        self.answer = delivery.answer
        self.generated_tokens = 0
        self.is_complete = False
        self.log = events.get_logger("entry.relay")

    @property
    def is_stream(self) -> bool:
        """Whether events are sent to the caller as they arrive."""
        return self.answer.content_type == EVENT_STREAM

    async def run(self) -> web.StreamResponse:
        """Relay the complete answer, or close the caller's connection.

        Raises:
            OutcomeUnknownError: A buffered answer was truncated; nothing was sent to
                the caller.
        """
        if self.is_stream:
            response = await self.relay_stream()
        else:
            response = await self.relay_buffered()
        if self.is_complete:
            self.count_goodput()
        return response

    async def relay_buffered(self) -> web.Response:
        """Read the complete answer before any of it is sent to the caller.

        Raises:
            OutcomeUnknownError: The answer was truncated.
        """
        try:
            body = await self.delivery.read_body()
        except (aiohttp.ClientError, TimeoutError):
            raise OutcomeUnknownError("the answer was truncated") from None
        self.generated_tokens = _completion_tokens(body) if self.request.model else 0
        self.is_complete = True
        return web.Response(
            status=self.answer.status, headers=self.headers(), body=body
        )

    async def relay_stream(self) -> web.StreamResponse:
        """Send each event to the caller once it is complete."""
        response = web.StreamResponse(status=self.answer.status, headers=self.headers())
        await response.prepare(self.raw)
        try:
            await self.copy_events(response)
        except aiohttp.ClientConnectionResetError:
            # The caller has disconnected, so no error can be sent.
            return response
        except (aiohttp.ClientError, EventStreamError, TimeoutError) as error:
            self.log.event(
                _events.ANSWER_CUT,
                request_id=self.request.request_id,
                error=reason(error),
            )
            # Learns whether the request crashed its upstream before the caller
            # can retry it.
            await self.delivery.query_outcome()
            await self.truncate(response)
            return response
        await response.write_eof()
        # The last event of a model's stream marks its end and carries no token.
        self.generated_tokens -= bool(self.request.model)
        self.is_complete = True
        return response

    async def copy_events(self, response: web.StreamResponse) -> None:
        """Copy a stream of events to the caller until it ends.

        Raises:
            aiohttp.ClientError: The stream was broken off, or the caller has
                disconnected.
            EventStreamError: The stream has bytes that are no event.
            TimeoutError: The sidecar is silent.
        """
        splitter = EventSplitter(MAX_EVENT_BYTES)
        while chunk := await self.delivery.read_chunk():
            for event in splitter.feed(chunk):
                await self.write_event(response, event)
        # The last event of a whole stream may lack its blank line.
        if not is_event(splitter.incomplete):
            raise EventStreamError("the stream ends with bytes that are no event")
        await self.write_event(response, splitter.incomplete)

    async def write_event(self, response: web.StreamResponse, event: bytes) -> None:
        """Send an event, which carries one token, to the caller and count it."""
        self.generated_tokens += event.count(EVENT_PREFIX)
        await response.write(event)

    async def truncate(self, response: web.StreamResponse) -> None:
        """Close the caller's connection so that the answer is seen to be truncated."""
        transport = self.raw.transport
        if transport is None:
            return
        if self.raw.version < HttpVersion11:
            # Without chunked encoding, an ordinary close would mark the answer's end.
            transport.abort()
            return
        try:
            await response.write(TRUNCATION_EVENT)
        except ConnectionError:
            pass
        transport.close()

    def headers(self) -> CIMultiDict[str]:
        """Return the headers of the response to the caller."""
        passed = headers.caller_headers(self.answer.headers)
        passed[headers.REQUEST_ID] = self.request.request_id
        return passed

    def count_goodput(self) -> None:
        """Count the request if it was answered without an error before its deadline."""
        is_in_time = time.monotonic() <= self.request.deadline_at
        if not is_in_time or self.answer.status >= FIRST_ERROR_STATUS:
            return
        tier = str(self.request.resolved.tier.rank)
        GOODPUT_REQUESTS.labels(tier).inc()
        tokens = self.request.prompt_tokens + self.generated_tokens
        GOODPUT_TOKENS.labels(tier).inc(tokens)


def _completion_tokens(body: bytes) -> int:
    try:
        return int(untrusted_json.loads(body)["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return 0
