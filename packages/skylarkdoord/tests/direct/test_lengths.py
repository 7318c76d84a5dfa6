"""Which requests are long for their tier."""

import pytest

from skylarkdoord.direct._lengths import AnswerLengths

from ._make import make_admitted, make_request


@pytest.fixture
def lengths():
    """Return lengths that have seen many answers of about 50 tokens."""
    lengths = AnswerLengths()
    for tokens in [25, 50, 100] * 100:
        lengths.is_long(admitted(tokens))
    return lengths


def admitted(tokens, rank=0):
    """Return a request whose caller expects so many tokens."""
    return make_admitted(make_request(expected_tokens=tokens), rank=rank)


class TestLengths:
    """`Lengths`."""

    @pytest.mark.parametrize(
        ("tokens", "is_long"), [(1, False), (60, False), (130, True), (2000, True)]
    )
    def test_beside_the_usual(self, lengths, tokens, is_long):
        """An answer is long from twice the usual length."""
        assert lengths.is_long(admitted(tokens)) is is_long

    def test_unknown(self, lengths):
        """Where the caller states nothing, nothing is held against the request."""
        assert not lengths.is_long(admitted(0))

    def test_first(self):
        """The first request of a tier is like its usual."""
        assert not AnswerLengths().is_long(admitted(5000))

    def test_tiers_apart(self, lengths):
        """A tier of long answers is judged by its own."""
        for _ in range(10):
            assert not lengths.is_long(admitted(2000, rank=2))

    def test_change(self, lengths):
        """When all answers grow longer, that becomes the usual."""
        for _ in range(300):
            lengths.is_long(admitted(800))
        assert not lengths.is_long(admitted(800))
