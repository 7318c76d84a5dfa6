"""Headers of callers, as the product gets them."""

import pytest

from skylarkdoor_platform import adapter
from skylarkdoord.direct import RawHead


def read(*headers):
    """Return the request with these headers, received at second 10."""
    return adapter.read_request(RawHead("POST", "/desk/1", headers), 10.0)


class TestExpectedTokens:
    """`Length-Hint`."""

    @pytest.mark.parametrize(
        ("value", "tokens"),
        [("120", 120), ("0", 0), ("", 0), ("-3", 0), ("1e3", 0), ("many", 0), ("²", 0)],
    )
    def test_value(self, value, tokens):
        """A number of tokens is read; what is none counts as not stated."""
        assert read(("Length-Hint", value)).expected_tokens == tokens

    def test_passed_on(self):
        """The server gets the caller's estimate too."""
        assert ("Length-Hint", "120") in read(("Length-Hint", "120")).headers
