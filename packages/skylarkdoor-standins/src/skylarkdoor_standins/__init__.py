"""Stand-ins for the systems around skylarkdoor, for tests and demos."""

from skylarkdoor_standins._text import chat_prompt, expected_text

__all__ = ["chat_prompt", "expected_text"]
