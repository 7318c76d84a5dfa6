"""Deterministic answers."""

from skylarkdoor_standins import chat_prompt, expected_text


class TestExpectedText:
    """`expected_text`."""

    def test_length(self):
        """An answer has as many words as tokens were asked for."""
        assert len(expected_text("hello", 5).split()) == 5

    def test_distinct(self):
        """Answers to different prompts differ in every word."""
        first, second = (expected_text(prompt, 3).split() for prompt in ("a", "b"))
        assert not set(first) & set(second)

    def test_prefix(self):
        """A shorter answer begins the longer one, so that a cut one is seen."""
        assert expected_text("a", 9).startswith(expected_text("a", 4))


class TestChatPrompt:
    """`chat_prompt`."""

    def test_order(self):
        """The messages stand in their order, each with its role."""
        messages = [{"role": "system", "content": "s"}, {"role": "user"}]
        assert chat_prompt(messages) == "system: s\nuser: "
