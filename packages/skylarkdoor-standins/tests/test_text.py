"""Tests of the deterministic completions."""

from skylarkdoor_standins import chat_prompt, expected_text


class TestExpectedText:
    """`expected_text`."""

    def test_length(self):
        """The text has one word per requested token."""
        assert len(expected_text("hello", 5).split()) == 5

    def test_distinct(self):
        """The texts for different prompts have no word in common."""
        first, second = (expected_text(prompt, 3).split() for prompt in ("a", "b"))
        assert not set(first) & set(second)

    def test_prefix(self):
        """A shorter text is a prefix of a longer one, so truncation is detectable."""
        assert expected_text("a", 9).startswith(expected_text("a", 4))


class TestChatPrompt:
    """`chat_prompt`."""

    def test_order(self):
        """The prompt lists the messages in order, each with its role."""
        messages = [{"role": "system", "content": "s"}, {"role": "user"}]
        assert chat_prompt(messages) == "system: s\nuser: "
