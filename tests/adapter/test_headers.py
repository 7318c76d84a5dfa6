"""Tests of the decoded headers of callers' requests."""

import pytest

from skylarkdoor_platform import adapter
from skylarkdoord.direct import PromptPart, RawHead
from skylarkdoord.direct.exceptions import BadCallError


def read(*headers):
    """Return the request with these headers, received at 10 s."""
    return adapter.read_request(RawHead("POST", "/desk/1", headers), 10.0)


class TestExpectedTokens:
    """`Length-Hint`."""

    @pytest.mark.parametrize(
        ("value", "tokens"),
        [("120", 120), ("0", 0), ("", 0), ("-3", 0), ("1e3", 0), ("many", 0), ("²", 0)]
        + [("9" * digits, 0) for digits in (10, 11, 309, 5000)],
        ids=lambda value: str(value)[:12],
    )
    def test_value(self, value, tokens):
        """A number of tokens is decoded; a malformed value counts as not stated."""
        assert read(("Length-Hint", value)).expected_tokens == tokens

    def test_passed_on(self):
        """The caller's estimate is passed on to the server."""
        assert ("Length-Hint", "120") in read(("Length-Hint", "120")).headers


class TestTokens:
    """`Token-Usage` and the parts of a prompt."""

    # Guards against numbers that fail only once the request waits for a slot.
    @pytest.mark.parametrize("digits", [10, 309, 5000])
    def test_too_large(self, digits):
        """Numbers that no offer can state are refused."""
        for value in (f"{'9' * digits},1", f"1,{'9' * digits}"):
            with pytest.raises(BadCallError, match="Token-Usage"):
                read(("Token-Usage", value))

    def test_large_part(self):
        """A part of a prompt with such a number is left out."""
        request = read(("Prefix-Hash", f"a:10,b:{'9' * 5000},c:20"))
        assert request.prefix == (PromptPart("a", 10), PromptPart("c", 20))


class TestUpstreamLimit:
    """`Server-Limit`."""

    @pytest.mark.parametrize(
        ("value", "limit"), [("1", 1.0), ("0.5", 0.5), ("0", 0.0), ("1e9", 1e9)]
    )
    def test_value(self, value, limit):
        """A limit is decoded as requests a second."""
        head = adapter.read_head(200, {"Server-Limit": value})
        assert (head.limit_per_s, head.has_malformed_limit) == (limit, False)

    @pytest.mark.parametrize("value", ["", "-1", "inf", "nan", "many", "1;2", "²"])
    def test_malformed(self, value):
        """A malformed limit is told from an absent one."""
        head = adapter.read_head(200, {"Server-Limit": value})
        assert (head.limit_per_s, head.has_malformed_limit) == (None, True)

    def test_absent(self):
        """An answer without the header names no limit."""
        head = adapter.read_head(200, {})
        assert (head.limit_per_s, head.has_malformed_limit) == (None, False)


class TestPromptParts:
    """`Prefix-Hash`."""

    # Guards against one malformed part that hides the others, or fails the request.
    @pytest.mark.parametrize("malformed", ["", "x", "x:", ":5", "x:-1", "x:²"])
    def test_malformed(self, malformed):
        """Malformed parts are left out; the others stay."""
        parts = read(("Prefix-Hash", f"a:1,{malformed}, b:2")).prefix
        assert parts == (PromptPart("a", 1), PromptPart("b", 2))
