"""Deterministic answers, so that a crossed or cut one is recognised."""

import hashlib
from collections.abc import Iterator, Sequence
from typing import NotRequired, TypedDict

_MARK_LENGTH = 8


class ChatMessage(TypedDict):
    """One message of a chat."""

    role: str
    content: NotRequired[str]


def chat_prompt(messages: Sequence[ChatMessage]) -> str:
    """Return the prompt that the engine makes of a chat's messages."""
    lines = (f"{message['role']}: {message.get('content', '')}" for message in messages)
    return "\n".join(lines)


def answer_words(prompt: str, max_tokens: int) -> Iterator[str]:
    """Yield the words answered to a prompt: its mark and the word's index."""
    mark = hashlib.sha256(prompt.encode()).hexdigest()[:_MARK_LENGTH]
    for index in range(max_tokens):
        yield f"{mark}-{index}"


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to a prompt.

    Args:
        prompt: The text of a completion, or the `chat_prompt` of a chat.
        max_tokens: The number of words asked for; a token is a word.
    """
    return " ".join(answer_words(prompt, max_tokens))
