"""Tests of `skylarkdoor.response_heads`."""

import string

import pytest

from skylarkdoor.response_heads import (
    InvalidHeadError,
    ResponseHeads,
    drop_undecodable,
    is_field,
    is_final_status,
)

HEAD = b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n"
TOKEN_CHARACTERS = b"!#$%&'*+-.^_`|~" + string.digits.encode()
TOKEN_CHARACTERS += string.ascii_letters.encode()


def is_valid(head: bytes, size: int = 1000) -> bool:
    """Return whether a head is valid if it arrives in parts of a size."""
    heads = ResponseHeads()
    try:
        for at in range(0, len(head), size):
            heads.feed(head[at : at + size])
    except InvalidHeadError:
        return False
    assert heads.is_complete
    return True


class TestHeads:
    """Heads that arrive in parts, after interim responses, before a body."""

    @pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
    @pytest.mark.parametrize("interim", [b"", INTERIM, INTERIM * 3])
    def test_parts(self, size: int, interim: bytes) -> None:
        """A valid head is valid however it arrives."""
        assert is_valid(interim + HEAD, size)
        assert not is_valid(interim + HEAD.replace(b"A:", b"A :"), size)

    def test_body(self) -> None:
        """What follows the head is not checked."""
        assert is_valid(HEAD + b"\0\nA \0:\r\n\r\n")

    def test_incomplete(self) -> None:
        """A head is complete at its empty line only."""
        heads = ResponseHeads()
        heads.feed(HEAD[:-1])
        assert not heads.is_complete
        heads.feed(HEAD[-1:])
        assert heads.is_complete

    # Guards against a rule that lists the reported bytes only.
    @pytest.mark.parametrize("at", [0, 1, 2])
    def test_any_byte_in_a_name(self, at: int) -> None:
        """A name consists of the characters of a token; a colon ends it."""
        accepted = set()
        for byte in range(256):
            name = bytearray(b"Xx")
            name.insert(at, byte)
            if is_valid(b"HTTP/1.1 200 OK\r\n%s: 1\r\n\r\n" % name):
                accepted.add(byte)
        # A line feed that is not within a line is an empty line, the end of the head.
        extra = b"\n" if at == 0 else b":"
        assert accepted == set(TOKEN_CHARACTERS + extra)

    def test_any_byte_in_a_value(self) -> None:
        """A value has no control characters other than tabs."""
        for byte in set(range(256)) - set(b"\n"):
            is_allowed = byte == 9 or (byte >= 32 and byte != 127)
            head = b"HTTP/1.1 200 OK\r\nA: b%cc\r\n\r\n" % byte
            assert is_valid(head) == is_allowed

    def test_any_status(self) -> None:
        """A status has three digits and names a class."""
        for status in range(1100):
            head = b"HTTP/1.1 %03d OK\r\n\r\n" % status + HEAD
            assert is_valid(head) == (100 <= status <= 599 and status != 101)


class TestFinalStatus:
    """Statuses of final responses."""

    @pytest.mark.parametrize("status", [200, 404, 599])
    def test_valid(self, status: object) -> None:
        """Statuses from 200 to 599 are valid."""
        assert is_final_status(status)

    @pytest.mark.parametrize("status", [0, 100, 199, 600, -200, 200.0, True, "200"])
    def test_invalid(self, status: object) -> None:
        """Other numbers, and values of other types, are not."""
        assert not is_final_status(status)


class TestField:
    """Fields that were kept apart from their head."""

    def test_valid(self) -> None:
        """A value may be empty, and hold a colon and letters beyond ASCII."""
        assert is_field("X-Field", "a: caf\u00e9")
        assert is_field("X-Field", "")

    @pytest.mark.parametrize("name", ["", "X Field", "X:Field", "X\n", "\u00e9"])
    def test_invalid_name(self, name: str) -> None:
        """A name is a token."""
        assert not is_field(name, "1")

    @pytest.mark.parametrize("value", ["a\nb", "a\0", "\x7f", "\ud800"])
    def test_invalid_value(self, value: str) -> None:
        """A value has no control characters and stands for bytes."""
        assert not is_field("X-Field", value)

    # Guards against a connection that ends without an answer, as the value of one of
    # its fields can't be written.
    def test_bytes_beyond_utf_8(self) -> None:
        """Bytes that are not UTF-8 are valid, and dropped before they are passed on."""
        value = b"caf\xe9 \xc3\xa9".decode(errors="surrogateescape")
        assert is_field("X-Field", value)
        assert drop_undecodable(value) == "caf \u00e9"
