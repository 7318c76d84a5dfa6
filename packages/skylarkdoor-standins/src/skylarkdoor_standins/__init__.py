"""Stand-ins for the systems that skylarkdoor depends on, for tests and demos."""

from skylarkdoor_standins._text import ChatMessage, chat_prompt, expected_text

__all__ = ["ChatMessage", "chat_prompt", "expected_text"]
