"""Requests and answers in the OpenAI form."""

import time
from typing import Any, NamedTuple

from aiohttp import web

from skylarkdoor_standins._text import answer_words, chat_prompt
from skylarkdoor_standins.engine._prefix_cache import block_hashes
from skylarkdoor_standins.engine._sequence import Sequence

DEFAULT_MAX_TOKENS = 64


class CompletionRequest(NamedTuple):
    """What a caller asks for."""

    model: str
    prompt: str
    max_tokens: int
    is_stream: bool
    has_usage: bool
    is_chat: bool


def read_request(body: Any, *, is_chat: bool) -> CompletionRequest:
    """Return a request from its JSON form.

    Raises:
        HTTPBadRequest: A field is missing or of the wrong type.
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
            has_usage=bool(options.get("include_usage")),
            is_chat=is_chat,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise web.HTTPBadRequest(text=f"bad request: {error!r}") from error


def make_sequence(request: CompletionRequest, *, request_id: str) -> Sequence:
    """Return the sequence that answers a request."""
    words = request.prompt.split() or [""]
    return Sequence(
        request_id=request_id,
        prompt=request.prompt,
        words=words,
        blocks=block_hashes(words, model=request.model),
        answer=answer_words(request.prompt, request.max_tokens),
        max_tokens=request.max_tokens,
    )


class AnswerForm:
    """Makes the JSON forms of one request's answer."""

    def __init__(self, request: CompletionRequest, sequence: Sequence):
        self.request = request
        self.sequence = sequence
        self._created = int(time.time())

    def whole(self, text: str) -> dict[str, Any]:
        """Return the answer in one piece."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self.request.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.request.is_chat else "text_completion"
        return self._head(kind) | {"choices": [choice], "usage": self._usage()}

    def chunk(self, text: str, *, is_last: bool) -> dict[str, Any]:
        """Return a piece of a streamed answer."""
        reason = "length" if is_last else None
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        if self.request.is_chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return self._head(self._chunk_kind()) | {"choices": [choice]}

    def usage_chunk(self) -> dict[str, Any]:
        """Return the piece that follows the last one where usage is asked for."""
        return self._head(self._chunk_kind()) | {
            "choices": [],
            "usage": self._usage(),
        }

    def _chunk_kind(self) -> str:
        return "chat.completion.chunk" if self.request.is_chat else "text_completion"

    def _head(self, kind: str) -> dict[str, Any]:
        return {
            "id": f"cmpl-{self.sequence.request_id}",
            "object": kind,
            "created": self._created,
            "model": self.request.model,
        }

    def _usage(self) -> dict[str, Any]:
        prompt = len(self.sequence.words)
        return {
            "prompt_tokens": prompt,
            "completion_tokens": self.sequence.emitted,
            "total_tokens": prompt + self.sequence.emitted,
            "prompt_tokens_details": {"cached_tokens": self.sequence.cached},
        }
