"""Requests and responses in the format of the OpenAI API."""

import time
from typing import Any, NamedTuple

from aiohttp import web

from skylarkdoor_standins._text import chat_prompt, completion_words
from skylarkdoor_standins.engine._prefix_cache import block_hashes
from skylarkdoor_standins.engine._sequence import Sequence

DEFAULT_MAX_TOKENS = 64


class CompletionRequest(NamedTuple):
    """A text or chat completion request."""

    model: str
    prompt: str
    max_tokens: int
    is_stream: bool
    include_usage: bool
    is_chat: bool


def read_request(body: Any, *, is_chat: bool) -> CompletionRequest:
    """Return the completion request that a JSON body describes.

    Raises:
        HTTPBadRequest: A field is missing or has the wrong type.
    """
    try:
        prompt = chat_prompt(body["messages"]) if is_chat else str(body["prompt"])
        max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
        options = body.get("stream_options") or {}
        return CompletionRequest(
            model=body["model"],
            prompt=prompt,
            max_tokens=int(max_tokens or DEFAULT_MAX_TOKENS),
            is_stream=bool(body.get("stream")),
            include_usage=bool(options.get("include_usage")),
            is_chat=is_chat,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise web.HTTPBadRequest(text=f"invalid request: {error!r}") from error


def make_sequence(request: CompletionRequest, *, request_id: str) -> Sequence:
    """Return the sequence that generates the completion of a request."""
    tokens = request.prompt.split() or [""]
    return Sequence(
        request_id=request_id,
        prompt=request.prompt,
        prompt_tokens=tokens,
        block_hashes=block_hashes(tokens, model=request.model),
        completion_tokens=completion_words(request.prompt, request.max_tokens),
        max_tokens=request.max_tokens,
    )


class ResponseBuilder:
    """Builds the JSON bodies of the response to one request."""

    def __init__(self, request: CompletionRequest, sequence: Sequence):
        self.request = request
        self.sequence = sequence
        self._created = int(time.time())

    def full_response(self, text: str) -> dict[str, Any]:
        """Return the body of a response that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self.request.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        object_type = "chat.completion" if self.request.is_chat else "text_completion"
        return self._common_fields(object_type) | {
            "choices": [choice],
            "usage": self._usage(),
        }

    def chunk(self, text: str, *, is_last: bool) -> dict[str, Any]:
        """Return one chunk of a streamed response."""
        reason = "length" if is_last else None
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        if self.request.is_chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return self._common_fields(self._chunk_object_type()) | {"choices": [choice]}

    def usage_chunk(self) -> dict[str, Any]:
        """Return the final chunk, sent where the request includes usage."""
        return self._common_fields(self._chunk_object_type()) | {
            "choices": [],
            "usage": self._usage(),
        }

    def _chunk_object_type(self) -> str:
        return "chat.completion.chunk" if self.request.is_chat else "text_completion"

    def _common_fields(self, object_type: str) -> dict[str, Any]:
        return {
            "id": f"cmpl-{self.sequence.request_id}",
            "object": object_type,
            "created": self._created,
            "model": self.request.model,
        }

    def _usage(self) -> dict[str, Any]:
        prompt = len(self.sequence.prompt_tokens)
        return {
            "prompt_tokens": prompt,
            "completion_tokens": self.sequence.emitted_tokens,
            "total_tokens": prompt + self.sequence.emitted_tokens,
            "prompt_tokens_details": {"cached_tokens": self.sequence.cached_tokens},
        }
