"""Tests of `skylarkdoord.sidecar._claim_rows`."""

from types import SimpleNamespace

import pytest

from skylarkdoord.exceptions import ClaimRowError, OutcomeUnknownError
from skylarkdoord.sidecar._claim_rows import (
    ClaimRow,
    ClaimState,
    CompleteAnswer,
    decode,
    encode,
)
from skylarkdoord.sidecar._claims import Claims

ANSWER = CompleteAnswer(200, (("X-Field", "caf\u00e9"),), b"body")


def claim(**changes: object) -> ClaimRow:
    """Return a finished claim with a changed answer."""
    answer = ANSWER._replace(**changes)
    return ClaimRow("op-1", ClaimState.DONE, 1, "sidecar-1", "a:1", 1, 1, answer)


class TestStoredAnswers:
    """Answers that are stored for retries."""

    def test_valid(self) -> None:
        """A valid answer is read as it was written."""
        assert decode(encode(claim())) == claim()

    # Guards against the incident: a retry gets an answer with status 000, or one that
    # ends the connection, which a former version stored.
    @pytest.mark.parametrize(
        "changes",
        [
            {"status": 0},
            {"status": 100},
            {"status": 600},
            {"status": "200"},
            {"status": None},
            {"headers": (("X Field", "1"),)},
            {"headers": (("", "1"),)},
            {"headers": (("X-Field", "a\x07"),)},
            {"headers": (("X-Field", "a\r\nB: c"),)},
            {"headers": (("X-Field", 1),)},
        ],
        ids=str,
    )
    async def test_invalid_head(self, changes: dict[str, object]) -> None:
        """The request has run, so the outcome of its retry is unknown."""
        read = decode(encode(claim(**changes)))
        assert read == claim()._replace(answer=None)
        with pytest.raises(OutcomeUnknownError):
            await Claims.read_answer(SimpleNamespace(), read)

    @pytest.mark.parametrize("headers", [1, [1], [["a"]]])
    def test_malformed(self, headers: object) -> None:
        """A row of another form is no claim."""
        with pytest.raises(ClaimRowError):
            decode(encode(claim(headers=headers)))
