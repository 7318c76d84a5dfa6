"""Deterministic completions.

The text of a completion follows from its prompt, so that tests detect a completion
that is truncated or was delivered to the wrong request.
"""

import hashlib
from collections.abc import Iterator, Sequence
from typing import NotRequired, TypedDict

_DIGEST_LENGTH = 8


class ChatMessage(TypedDict):
    """One message of a chat completion request."""

    role: str
    content: NotRequired[str]


def chat_prompt(messages: Sequence[ChatMessage]) -> str:
    """Return the prompt that the engine builds from the messages of a chat."""
    lines = (f"{message['role']}: {message.get('content', '')}" for message in messages)
    return "\n".join(lines)


def completion_words(prompt: str, max_tokens: int) -> Iterator[str]:
    """Yield the words of a completion: the prompt's digest and the word's index."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:_DIGEST_LENGTH]
    for index in range(max_tokens):
        yield f"{digest}-{index}"


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the complete text that the engine generates for a prompt.

    Args:
        prompt: The prompt of a text completion, or the `chat_prompt` of a chat.
        max_tokens: The number of tokens to generate; one token is one word.
    """
    return " ".join(completion_words(prompt, max_tokens))
