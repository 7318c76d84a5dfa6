"""A request that the engine runs."""

import asyncio
from collections.abc import Iterator


class Sequence:
    """The progress of one request: prefill of its prompt, then decoding.

    Args:
        request_id: The request's ID, set by the client or generated.
        prompt: The text of the prompt.
        prompt_tokens: The tokens of the prompt.
        block_hashes: The hashes of the prompt's complete blocks.
        completion_tokens: The tokens to generate, in order.
        max_tokens: The number of tokens to generate.

    Attributes:
        cached_tokens: The number of prompt tokens taken from the prefix cache.
        computed_tokens: The number of prompt tokens computed so far.
        emitted_tokens: The number of tokens generated so far.
    """

    def __init__(
        self,
        *,
        request_id: str,
        prompt: str,
        prompt_tokens: list[str],
        block_hashes: list[str],
        completion_tokens: Iterator[str],
        max_tokens: int,
    ):
        self.request_id = request_id
        self.prompt = prompt
        self.prompt_tokens = prompt_tokens
        self.block_hashes = block_hashes
        self.max_tokens = max_tokens
        self.cached_tokens = 0
        self.computed_tokens = 0
        self.emitted_tokens = 0
        self._completion_tokens = completion_tokens
        self._token_queue: asyncio.Queue[str | None] = asyncio.Queue()

    @property
    def remaining_prefill_tokens(self) -> int:
        """The number of prompt tokens still to be computed."""
        return len(self.prompt_tokens) - self.cached_tokens - self.computed_tokens

    @property
    def is_finished(self) -> bool:
        """Whether the prompt is computed and all tokens are generated."""
        return (
            not self.remaining_prefill_tokens and self.emitted_tokens >= self.max_tokens
        )

    def emit_token(self) -> None:
        """Generate one token; after the last, signal the end to `next_token`."""
        if self.emitted_tokens < self.max_tokens:
            self.emitted_tokens += 1
            self._token_queue.put_nowait(next(self._completion_tokens))
        if self.is_finished:
            self._token_queue.put_nowait(None)

    async def next_token(self) -> str | None:
        """Wait for the next token and return it; return None after the last."""
        return await self._token_queue.get()
