"""The forms of etcd's v3 JSON gateway."""

import base64
from collections.abc import Sequence
from typing import assert_never

import msgspec

from skylarkdoor.clients._transactions import (
    Absent,
    Condition,
    Delete,
    Put,
    RevisionIs,
    Row,
    Txn,
    TxnResult,
    ValueIs,
)

Message = dict[str, object]


class Header(msgspec.Struct):
    """What heads each answer."""

    revision: str


class KeyValue(msgspec.Struct):
    """A row; the gateway leaves empty fields out."""

    key: str
    mod_revision: str
    version: str
    value: str = ""


class RangeAnswer(msgspec.Struct):
    """The answer to a range request."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()
    more: bool = False


class RangeResponse(msgspec.Struct):
    """An operation's answer inside a transaction; writes have none of interest."""

    response_range: RangeAnswer | None = None


class NestedAnswer(msgspec.Struct):
    """The answer to a nested transaction."""

    succeeded: bool = False
    responses: tuple[RangeResponse, ...] = ()


class NestedResponse(msgspec.Struct):
    """A nested transaction's answer inside the outer one."""

    response_txn: NestedAnswer


class CommitAnswer(msgspec.Struct):
    """The answer to a group of nested transactions."""

    header: Header
    responses: tuple[NestedResponse, ...] = ()


class ErrorAnswer(msgspec.Struct):
    """The answer to a request that failed."""

    message: str = ""


def range_request(key: str) -> Message:
    """Return the request for one row."""
    return {"key": encode(key.encode())}


def prefix_request(prefix: str, *, start: str | None, limit: int) -> Message:
    """Return the request for a page of the rows under a prefix.

    Args:
        prefix: What the keys begin with.
        start: The key after which the page begins, or None for the first page.
        limit: The most rows in the page.
    """
    first = prefix.encode() if start is None else start.encode() + b"\0"
    return {
        "key": encode(first or b"\0"),
        "range_end": encode(prefix_end(prefix.encode())),
        "limit": str(limit),
    }


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all those that begin with a prefix."""
    stem = prefix.rstrip(b"\xff")
    if not stem:
        return b"\0"
    return stem[:-1] + bytes([stem[-1] + 1])


def commit_request(txns: Sequence[Txn]) -> Message:
    """Return the request that holds each transaction as a nested one."""
    return {"success": [{"request_txn": _nested(txn)} for txn in txns]}


def read_row(row: KeyValue) -> Row:
    """Return a row from its form."""
    return Row(
        key=base64.b64decode(row.key).decode(),
        value=base64.b64decode(row.value),
        revision=int(row.mod_revision),
        version=int(row.version),
    )


def read_results(answer: CommitAnswer) -> list[TxnResult]:
    """Return the verdict on each nested transaction."""
    revision = int(answer.header.revision)
    return [
        TxnResult(
            succeeded=response.response_txn.succeeded,
            rows=_read_rows(response.response_txn.responses),
            revision=revision,
        )
        for response in answer.responses
    ]


def encode(data: bytes) -> str:
    """Return bytes in the gateway's form."""
    return base64.b64encode(data).decode()


def _nested(txn: Txn) -> Message:
    return {
        "compare": [_compare(condition) for condition in txn.conditions],
        "success": [_write(write) for write in txn.writes],
        "failure": [{"request_range": range_request(key)} for key in txn.reads],
    }


def _compare(condition: Condition) -> Message:
    message: Message = {"key": encode(condition.key.encode()), "result": "EQUAL"}
    match condition:
        case Absent():
            return message | {"target": "VERSION", "version": "0"}
        case RevisionIs(_, revision):
            return message | {"target": "MOD", "mod_revision": str(revision)}
        case ValueIs(_, value):
            return message | {"target": "VALUE", "value": encode(value)}
    assert_never(condition)


def _write(write: Put | Delete) -> Message:
    match write:
        case Put(key, value):
            request = range_request(key) | {"value": encode(value)}
            return {"request_put": request}
        case Delete(key):
            return {"request_delete_range": range_request(key)}
    assert_never(write)


def _read_rows(responses: Sequence[RangeResponse]) -> tuple[Row, ...]:
    ranges = (response.response_range for response in responses)
    return tuple(read_row(row) for found in ranges if found for row in found.kvs)
