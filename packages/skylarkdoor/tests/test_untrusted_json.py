"""Tests of `skylarkdoor.untrusted_json`."""

import sys

import msgspec
import pytest

from skylarkdoor import untrusted_json
from skylarkdoor._untrusted_json import MAX_DEPTH, MAX_DIGITS


@pytest.fixture
def high_limits():
    """Raise the interpreter's limits, as another build of it may have them."""
    depth, digits = sys.getrecursionlimit(), sys.get_int_max_str_digits()
    sys.setrecursionlimit(20_000)
    sys.set_int_max_str_digits(0)
    yield
    sys.setrecursionlimit(depth)
    sys.set_int_max_str_digits(digits)


def nested(depth, inner=b""):
    """Return a document of arrays within each other."""
    return b"[" * depth + inner + b"]" * depth


@pytest.mark.usefixtures("high_limits")
class TestLimits:
    """Documents that nest deeply or hold long numbers."""

    # Guards against a row that ends processes on some machines only, as the
    # interpreter's own limits decide about it.
    @pytest.mark.parametrize(
        "data",
        [
            nested(MAX_DEPTH + 1),
            nested(3000),
            b'{"a":' * 2000 + b"1" + b"}" * 2000,
            b'{"\\\\":"]]","\\"]":' + nested(MAX_DEPTH) + b"}",
        ],
        ids=["arrays", "deep arrays", "objects", "brackets in strings"],
    )
    def test_depth(self, data):
        """The product's own limit decides, whatever that of the interpreter."""
        with pytest.raises(ValueError, match="nested too deeply"):
            untrusted_json.loads(data)
        with pytest.raises(ValueError, match="nested too deeply"):
            untrusted_json.loads(data.decode())
        with pytest.raises(msgspec.DecodeError, match="nested too deeply"):
            untrusted_json.decode(data, msgspec.Raw)

    def test_accepted(self):
        """Wide documents, and brackets within strings, are no depth."""
        assert untrusted_json.loads(nested(MAX_DEPTH, b"1"))
        wide = b"[" + b",".join([b'{"a":[1]}'] * 300) + b"]"
        assert len(untrusted_json.loads(wide)) == 300
        text = b'["' + b'\\"[{' * 300 + b'"]'
        assert untrusted_json.loads(text) == ['"[{' * 300]
        assert untrusted_json.decode(text, list[str]) == ['"[{' * 300]

    @pytest.mark.parametrize("number", [b"1", b"0."], ids=["integer", "fraction"])
    def test_digits(self, number):
        """A number of too many digits is rejected before it is converted."""
        with pytest.raises(ValueError, match="more than"):
            untrusted_json.loads(number + b"1" * MAX_DIGITS)
