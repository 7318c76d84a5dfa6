"""Checks the heads of HTTP responses before a parser reads them.

Parsers accept more than the standard allows, each of them something else: a status
that doesn't exist, a field name with a space, a transfer coding that nobody decodes.
What they make of such a head need not be what its sender meant, so a response with
one is not used at all. The rules are those of RFC 9110, sections 5, 8.6 and 15, and of
RFC 9112, sections 2 to 6.
"""

import re

from skylarkdoor.failures import DescribedError

# A status line may lack the space before an empty reason, as many servers omit it.
STATUS_LINE = re.compile(
    rb"HTTP/1\.(?P<minor>[0-9]) (?P<status>[1-5][0-9]{2})"
    rb"(?: [\t\x20-\x7e\x80-\xff]*)?"
)
# There is no space before the colon. A line that begins with a space would continue the
# one before it; that was deprecated, and a gateway may reject it.
FIELD_LINE = re.compile(
    rb"(?P<name>[!#$%&'*+\-.^_`|~0-9A-Za-z]+):(?P<value>[\t\x20-\x7e\x80-\xff]*)"
)
LENGTH = re.compile(rb"[0-9]+")
SPACES = b" \t"
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599


class InvalidHeadError(DescribedError, ValueError):
    """The head of a response is not valid HTTP."""


class ResponseHead:
    """Checks the lines of one head.

    Attributes:
        minor_version: Minor version of HTTP.
        status: The status; None before the status line.
        lengths: Values of `Content-Length`.
        codings: Values of `Transfer-Encoding`.
        is_ended: Whether the empty line at its end was read.
    """

    def __init__(self) -> None:
        self.minor_version = 1
        self.status: int | None = None
        self.lengths: list[bytes] = []
        self.codings: list[bytes] = []
        self.is_ended = False

    @property
    def is_interim(self) -> bool:
        """Whether another head follows this one."""
        return self.status is not None and self.status < FIRST_FINAL_STATUS

    def read_line(self, line: bytes) -> None:
        """Check the next line, given without its end.

        Raises:
            InvalidHeadError: The line, or the head that it ends, is invalid.
        """
        if self.status is None:
            self.read_status_line(line)
        elif line:
            self.read_field_line(line)
        else:
            self.check_framing()
            self.is_ended = True

    def read_status_line(self, line: bytes) -> None:
        """Check the status line.

        Raises:
            InvalidHeadError: It is malformed, or its status is invalid.
        """
        match = STATUS_LINE.fullmatch(line)
        if match is None:
            raise InvalidHeadError("malformed status line")
        self.minor_version = int(match["minor"])
        self.status = int(match["status"])
        if self.status == SWITCHING_PROTOCOLS:
            raise InvalidHeadError("a switch to a protocol that was not requested")

    def read_field_line(self, line: bytes) -> None:
        """Check a field's line, and keep its value if it frames the body.

        Raises:
            InvalidHeadError: It is malformed.
        """
        match = FIELD_LINE.fullmatch(line)
        if match is None:
            raise InvalidHeadError("malformed field line")
        name = match["name"].lower()
        if name == b"content-length":
            self.lengths.append(match["value"].strip(SPACES))
        elif name == b"transfer-encoding":
            self.codings.append(match["value"].strip(SPACES).lower())

    def check_framing(self) -> None:
        """Check that the end of the body is stated in at most one way.

        Raises:
            InvalidHeadError: It is stated in several ways, in an invalid one, or by a
                transfer coding other than `chunked`.
        """
        if self.is_interim and (self.lengths or self.codings):
            raise InvalidHeadError("an interim response with a body")
        if self.codings and self.lengths:
            raise InvalidHeadError("both Content-Length and Transfer-Encoding")
        if self.codings and not self.minor_version:
            raise InvalidHeadError("Transfer-Encoding in HTTP/1.0")
        if self.codings and self.codings != [b"chunked"]:
            raise InvalidHeadError("a transfer coding other than chunked")
        if self.lengths and (
            len(self.lengths) > 1 or not LENGTH.fullmatch(self.lengths[0])
        ):
            raise InvalidHeadError("malformed Content-Length")


class ResponseHeads:
    """Checks the bytes of a response up to the end of its head.

    Heads of interim responses that come first are checked as well. The bytes are not
    kept, except for a line of which the end has not arrived.

    Attributes:
        head: The head that is being received.
        line: Bytes of its latest line, while that is incomplete.
        is_complete: Whether the final response's head is complete; what follows it is
            not checked.
    """

    def __init__(self) -> None:
        self.head = ResponseHead()
        self.line = b""
        self.is_complete = False

    @property
    def is_until_close(self) -> bool:
        """Whether the end of the connection ends the response's body, if it has one."""
        return self.is_complete and not self.head.lengths and not self.head.codings

    def feed(self, data: bytes) -> None:
        """Check the next bytes of the response.

        Raises:
            InvalidHeadError: The head is invalid.
        """
        start = 0
        while not self.is_complete:
            end = data.find(b"\n", start)
            if end < 0:
                self.line += data[start:]
                return
            line = self.line + data[start:end]
            self.line = b""
            start = end + 1
            self.read_line(line.removesuffix(b"\r"))

    def read_line(self, line: bytes) -> None:
        """Check a complete line; see `feed`."""
        self.head.read_line(line)
        if not self.head.is_ended:
            return
        if self.head.is_interim:
            self.head = ResponseHead()
        else:
            self.is_complete = True


def is_final_status(status: object) -> bool:
    """Return whether a value is the status of a final response."""
    return type(status) is int and FIRST_FINAL_STATUS <= status <= LAST_STATUS


def is_field(name: object, value: object) -> bool:
    """Return whether a name and a value, as aiohttp reads them, may form a line."""
    if not isinstance(name, str) or not isinstance(value, str):
        return False
    try:
        line = f"{name}:{value}".encode(errors="surrogateescape")
    except UnicodeEncodeError:
        return False
    match = FIELD_LINE.fullmatch(line)
    return match is not None and match["name"] == name.encode()


def drop_undecodable(value: str) -> str:
    """Return a field's value without the bytes that are not UTF-8.

    aiohttp reads them as lone surrogates. Only one of its writers accepts these; it
    drops them.
    """
    return value.encode(errors="ignore").decode()
