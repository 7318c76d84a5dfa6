"""Encoding of claims as rows of the table."""

import base64
import enum
import json
from typing import NamedTuple

from skylarkdoor import untrusted_json
from skylarkdoor.response_heads import drop_undecodable, is_field, is_final_status
from skylarkdoord.exceptions import ClaimRowError

PREFIX = "claims"


class ClaimState(enum.StrEnum):
    """State of a claimed request."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class CompleteAnswer(NamedTuple):
    """A complete response of the upstream.

    Attributes:
        status: HTTP status.
        headers: Headers that may be passed to the caller.
        body: Response body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimRow(NamedTuple):
    """A claim: the record that one sidecar has the sole right to run a request.

    Attributes:
        operation: Identifier of the attempt that wrote the claim.
        state: State of the request.
        fingerprint: Hash of the call; a different call may not use the same key.
        instance: Instance name of the sidecar.
        address: Internal address of the sidecar, as `host:port`.
        incarnation: Incarnation of the sidecar.
        claimed_at: Unix time of the claim, in seconds.
        answer: The response, if the state is `DONE`; None if it is not a valid one.
        body_object: Key of the object that holds the response body, empty if
            the body is in the row.
    """

    operation: str
    state: ClaimState
    fingerprint: str
    instance: str
    address: str
    incarnation: int
    claimed_at: int
    answer: CompleteAnswer | None = None
    body_object: str = ""


def row_key(identity: str) -> str:
    """Return the row key for an identity, `team/customer/hash of the key`."""
    return f"{PREFIX}/{identity}"


def encode(claim: ClaimRow) -> bytes:
    """Encode a claim as a row value; equal claims have equal values."""
    document = claim._asdict()
    if claim.answer is not None:
        body = base64.b64encode(claim.answer.body).decode()
        document["answer"] = claim.answer._asdict() | {"body": body}
    return json.dumps(document, sort_keys=True).encode()


def decode(value: bytes) -> ClaimRow:
    """Decode a claim from a row value.

    Raises:
        ClaimRowError: The value is not a valid claim.
    """
    try:
        document = untrusted_json.loads(value)
        document["state"] = ClaimState(document["state"])
        if document["answer"] is not None:
            document["answer"] = _read_answer(**document["answer"])
        return ClaimRow(**document)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ClaimRowError(f"invalid claim row: {error!r}") from error


def _read_answer(
    status: int, headers: list[list[str]], body: str
) -> CompleteAnswer | None:
    """Return a stored response; None if its status or a header is invalid.

    Former versions stored responses whose heads were invalid.
    """
    pairs = [(name, value) for name, value in headers]
    if not is_final_status(status) or not all(is_field(*pair) for pair in pairs):
        return None
    passed = tuple((name, drop_undecodable(value)) for name, value in pairs)
    return CompleteAnswer(status, passed, base64.b64decode(body))
