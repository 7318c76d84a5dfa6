"""The form of claims as rows of the table."""

import base64
import enum
import json
from typing import NamedTuple

from skylarkdoord.exceptions import ClaimRowError

PREFIX = "claims"


class ClaimState(enum.StrEnum):
    """What is known of a claimed request."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class WholeAnswer(NamedTuple):
    """An upstream's whole answer.

    Attributes:
        status: HTTP status.
        headers: Its headers, as a caller may see them.
        body: Its body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimRow(NamedTuple):
    """A claim of a request by a sidecar.

    Attributes:
        operation: Identity of the attempt that wrote the claim.
        state: What is known of the request.
        fingerprint: Hash of the call; another call may not use the key.
        instance: Instance of the sidecar.
        address: Its internal address, as `host:port`.
        incarnation: Its life.
        claimed_at: Unix time of the claim, in seconds.
        answer: The answer, once done.
        body_object: Key of the object that holds the answer's body, empty if
            the body is in the row.
    """

    operation: str
    state: ClaimState
    fingerprint: str
    instance: str
    address: str
    incarnation: int
    claimed_at: int
    answer: WholeAnswer | None = None
    body_object: str = ""


def row_key(identity: str) -> str:
    """Return the key of the row for `team/customer/hash of the key`."""
    return f"{PREFIX}/{identity}"


def encode(claim: ClaimRow) -> bytes:
    """Return a claim as a row's value; equal claims have equal values."""
    document = claim._asdict()
    if claim.answer is not None:
        body = base64.b64encode(claim.answer.body).decode()
        document["answer"] = claim.answer._asdict() | {"body": body}
    return json.dumps(document, sort_keys=True).encode()


def decode(value: bytes) -> ClaimRow:
    """Return the claim of a row's value.

    Raises:
        ClaimRowError: The value is not a claim.
    """
    try:
        document = json.loads(value)
        document["state"] = ClaimState(document["state"])
        if document["answer"] is not None:
            document["answer"] = _read_answer(**document["answer"])
        return ClaimRow(**document)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ClaimRowError(f"not a claim: {error!r}") from error


def _read_answer(status: int, headers: list[list[str]], body: str) -> WholeAnswer:
    pairs = tuple((name, value) for name, value in headers)
    return WholeAnswer(status, pairs, base64.b64decode(body))
