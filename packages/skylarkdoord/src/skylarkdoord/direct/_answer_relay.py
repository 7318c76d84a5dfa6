"""Relays one upstream's answer to the caller."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDict

from skylarkdoor.event_stream import EventSplitter
from skylarkdoor.exceptions import EventStreamError
from skylarkdoor.response_heads import drop_undecodable
from skylarkdoord.direct._adapter import Adapter
from skylarkdoord.direct._call import Answer
from skylarkdoord.direct._model import Admitted
from skylarkdoord.direct._relay import CallerStream
from skylarkdoord.direct.exceptions import AnswerTruncatedError, UpstreamFailedError

MIN_SERVER_ERROR_STATUS = 500


class AnswerRelay:
    """Relays the answers of one request's attempts.

    Args:
        adapter: Translates the platform's protocols.
        admitted: The request.
        stream: The caller's side of a streamed answer.
        max_event_bytes: Largest size of an event, in bytes.
        is_draining: Whether the caller's connection is closed after the answer.
    """

    def __init__(
        self,
        adapter: Adapter,
        admitted: Admitted,
        stream: CallerStream,
        *,
        max_event_bytes: int,
        is_draining: bool,
    ) -> None:
        self.adapter = adapter
        self.admitted = admitted
        self.stream = stream
        self.max_event_bytes = max_event_bytes
        self.is_draining = is_draining

    async def relay(
        self,
        answer: Answer,
        first_byte_timeout: asyncio.Timeout,
        on_event: Callable[[], None],
    ) -> web.StreamResponse:
        """Relay an answer to the caller.

        Args:
            answer: The upstream's answer.
            first_byte_timeout: Timeout of the first byte; extended to the request's
                deadline once the answer has begun.
            on_event: Called before each event is passed on.

        Raises:
            AnswerTruncatedError: The answer ended before it was complete.
            UpstreamFailedError: The answer is a server error, and the request may run
                again.
        """
        headers = self.caller_headers(answer)
        if self.admitted.route.is_stream and answer.status == web.HTTPOk.status_code:
            return await self.relay_stream(
                answer, headers, first_byte_timeout, on_event
            )
        first_byte_timeout.reschedule(self.admitted.deadline)
        body = await answer.read_body()
        if self.stream.has_begun:
            raise AnswerTruncatedError(f"status {answer.status} when resuming a stream")
        response = web.Response(
            status=answer.status, headers=CIMultiDict(headers), body=body
        )
        if self.is_draining:
            response.force_close()
        if answer.status >= MIN_SERVER_ERROR_STATUS and self.admitted.route.may_repeat:
            raise UpstreamFailedError(response)
        return response

    def caller_headers(self, answer: Answer) -> list[tuple[str, str]]:
        """Return the headers of an answer that are passed on to the caller."""
        passed = self.adapter.caller_headers(answer.response.headers)
        return [(name, drop_undecodable(value)) for name, value in passed]

    async def relay_stream(
        self,
        answer: Answer,
        headers: list[tuple[str, str]],
        first_byte_timeout: asyncio.Timeout,
        on_event: Callable[[], None],
    ) -> web.StreamResponse:
        """Relay each event once it is complete.

        Raises:
            AnswerTruncatedError: The stream ended before it was complete.
        """
        splitter = EventSplitter(self.max_event_bytes)
        has_events = False
        try:
            while chunk := await answer.read_chunk():
                for event in splitter.feed(chunk):
                    has_events = True
                    first_byte_timeout.reschedule(self.admitted.deadline)
                    on_event()
                    await self.stream.begin(answer.status, headers)
                    await self.stream.write(event)
        except EventStreamError as error:
            raise AnswerTruncatedError(str(error)) from None
        if splitter.incomplete:
            raise AnswerTruncatedError("the stream ended within an event")
        if answer.is_close_delimited and not has_events:
            raise AnswerTruncatedError("the connection was closed before any event")
        await self.stream.begin(answer.status, headers)
        return await self.stream.end()
