"""Detection of requests whose answers are long for their tier."""

import pytest

from skylarkdoord.direct._lengths import AnswerLengths

from ._make import make_admitted, make_request


@pytest.fixture
def lengths():
    """Return answer lengths with an average of 50 tokens."""
    lengths = AnswerLengths()
    for tokens in [25, 50, 100] * 100:
        lengths.is_long(admitted(tokens))
    return lengths


def admitted(tokens, rank=0):
    """Return a request whose caller expects an answer of `tokens` tokens."""
    return make_admitted(make_request(expected_tokens=tokens), rank=rank)


class TestAnswerLengths:
    """`AnswerLengths`."""

    @pytest.mark.parametrize(
        ("tokens", "is_long"), [(1, False), (60, False), (130, True), (2000, True)]
    )
    def test_compared_with_average(self, lengths, tokens, is_long):
        """An answer is long above twice the average length."""
        assert lengths.is_long(admitted(tokens)) is is_long

    def test_no_expected_length(self, lengths):
        """A request without an expected length is not long."""
        assert not lengths.is_long(admitted(0))

    def test_first(self):
        """The first request of a tier is not long."""
        assert not AnswerLengths().is_long(admitted(5000))

    def test_tiers_are_separate(self, lengths):
        """Each tier has an average of its own."""
        for _ in range(10):
            assert not lengths.is_long(admitted(2000, rank=2))

    def test_average_changes(self, lengths):
        """The average follows when all answers grow longer."""
        for _ in range(300):
            lengths.is_long(admitted(800))
        assert not lengths.is_long(admitted(800))
