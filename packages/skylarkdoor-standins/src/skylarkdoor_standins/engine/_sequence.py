"""One request inside the engine."""

import asyncio
from collections.abc import Iterator


class Sequence:
    """A prompt being computed and the answer being decoded.

    Args:
        request_id: The caller's id of the request.
        prompt: The prompt's text.
        words: The prompt's tokens.
        blocks: Hashes of the prompt's whole blocks.
        answer: The tokens to answer, in order.
        max_tokens: How many there are.
    """

    def __init__(
        self,
        *,
        request_id: str,
        prompt: str,
        words: list[str],
        blocks: list[str],
        answer: Iterator[str],
        max_tokens: int,
    ):
        self.request_id = request_id
        self.prompt = prompt
        self.words = words
        self.blocks = blocks
        self.max_tokens = max_tokens
        self.cached = 0
        self.computed = 0
        self.emitted = 0
        self._answer = answer
        self._tokens: asyncio.Queue[str | None] = asyncio.Queue()

    @property
    def prefill_left(self) -> int:
        """The prompt tokens still to be computed."""
        return len(self.words) - self.cached - self.computed

    @property
    def is_finished(self) -> bool:
        """Whether the whole answer was decoded."""
        return not self.prefill_left and self.emitted >= self.max_tokens

    def emit(self) -> None:
        """Decode one token, and mark the end after the last."""
        if self.emitted < self.max_tokens:
            self.emitted += 1
            self._tokens.put_nowait(next(self._answer))
        if self.is_finished:
            self._tokens.put_nowait(None)

    async def next_token(self) -> str | None:
        """Wait for the next token; None after the last."""
        return await self._tokens.get()
