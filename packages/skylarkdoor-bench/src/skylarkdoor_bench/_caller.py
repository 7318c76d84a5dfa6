"""HTTP client that sends a customer's requests to an entry, with a trace context."""

import json
import secrets
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any, NamedTuple

import aiohttp

from skylarkdoor_standins import ChatMessage

STREAM_END = "[DONE]"
_EVENT_PREFIX = "data: "


class Answer(NamedTuple):
    """A complete answer, and the trace to which it belongs."""

    status: int
    body: str
    request_id: str
    trace_id: str


class CutStreamError(Exception):
    """A stream ended without its final event, or with an error event."""


class Caller:
    """Sends requests to one entry as one customer.

    Args:
        session: HTTP session used for all requests.
        url: The entry's base URL.
        key: The customer's API key.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, *, key: str):
        self.session = session
        self.url = url
        self.key = key

    async def send(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a request and return the complete answer."""
        trace_id = secrets.token_hex(16)
        async with self.session.request(
            method,
            f"{self.url}{path}",
            json=body,
            headers=self._headers(trace_id, headers or {}),
        ) as response:
            text = await response.text()
            request_id = response.headers.get("X-Request-Id", "")
            return Answer(response.status, text, request_id, trace_id)

    async def stream_chat(
        self, model: str, messages: Sequence[ChatMessage], *, max_tokens: int
    ) -> Answer:
        """Send a streaming chat and return its text after the final event.

        Raises:
            CutStreamError: The stream ended without its final event, or an
                error event was received.
        """
        trace_id = secrets.token_hex(16)
        body = {
            "model": model,
            "messages": list(messages),
            "max_tokens": max_tokens,
            "stream": True,
        }
        async with self.session.post(
            f"{self.url}/v1/chat/completions",
            json=body,
            headers=self._headers(trace_id, {}),
        ) as response:
            request_id = response.headers.get("X-Request-Id", "")
            if response.status != 200:
                text = await response.text()
            else:
                text = "".join([piece async for piece in _pieces(response)])
            return Answer(response.status, text, request_id, trace_id)

    def _headers(self, trace_id: str, others: Mapping[str, str]) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self.key}",
            "traceparent": f"00-{trace_id}-{secrets.token_hex(8)}-01",
            **others,
        }


async def _pieces(response: aiohttp.ClientResponse) -> AsyncIterator[str]:
    async for line in response.content:
        text = line.decode().strip()
        if not text.startswith(_EVENT_PREFIX):
            continue
        event = text.removeprefix(_EVENT_PREFIX)
        if event == STREAM_END:
            return
        content = json.loads(event)
        if "error" in content:
            raise CutStreamError(content["error"])
        for choice in content["choices"]:
            yield choice["delta"].get("content", "")
    raise CutStreamError
