"""Requests and responses of etcd's v3 JSON gateway.

Keys and values are base64-encoded; 64-bit integers are strings.
"""

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
    """The header of each response."""

    revision: str


class KeyValue(msgspec.Struct):
    """A row; the gateway omits empty fields."""

    key: str
    mod_revision: str
    version: str
    value: str = ""


class RangeResponse(msgspec.Struct):
    """The response to a range request."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()
    more: bool = False


class RangeResponseOp(msgspec.Struct):
    """The response to one operation of a transaction; None unless it is a read."""

    response_range: RangeResponse | None = None


class NestedTxnResponse(msgspec.Struct):
    """The response to a nested transaction."""

    succeeded: bool = False
    responses: tuple[RangeResponseOp, ...] = ()


class NestedTxnResponseOp(msgspec.Struct):
    """The entry for one nested transaction in the response to the outer one."""

    response_txn: NestedTxnResponse


class CommitResponse(msgspec.Struct):
    """The response to a group of nested transactions."""

    header: Header
    responses: tuple[NestedTxnResponseOp, ...] = ()


class ErrorResponse(msgspec.Struct):
    """The response to a request that failed."""

    message: str = ""


def range_request(key: str) -> Message:
    """Return the request for the row of one key."""
    return {"key": encode(key.encode())}


def prefix_request(prefix: str, *, start: str | None, limit: int) -> Message:
    """Return the request for one page of the rows whose keys have a prefix.

    Args:
        prefix: Prefix of the keys.
        start: The key after which the page begins; None for the first page.
        limit: Maximum number of rows in the page.
    """
    first = prefix.encode() if start is None else start.encode() + b"\0"
    return {
        "key": encode(first or b"\0"),
        "range_end": encode(prefix_end(prefix.encode())),
        "limit": str(limit),
    }


def prefix_end(prefix: bytes) -> bytes:
    """Return the exclusive end of the range of keys with a prefix."""
    stem = prefix.rstrip(b"\xff")
    if not stem:
        return b"\0"
    return stem[:-1] + bytes([stem[-1] + 1])


def commit_request(txns: Sequence[Txn]) -> Message:
    """Return the request that contains each transaction as a nested one."""
    return {"success": [{"request_txn": _nested_txn(txn)} for txn in txns]}


def read_row(row: KeyValue) -> Row:
    """Decode a row."""
    return Row(
        key=base64.b64decode(row.key).decode(),
        value=base64.b64decode(row.value),
        revision=int(row.mod_revision),
        version=int(row.version),
    )


def read_results(response: CommitResponse) -> list[TxnResult]:
    """Return the result of each nested transaction."""
    revision = int(response.header.revision)
    return [
        TxnResult(
            succeeded=nested.response_txn.succeeded,
            rows=_read_rows(nested.response_txn.responses),
            revision=revision,
        )
        for nested in response.responses
    ]


def encode(data: bytes) -> str:
    """Return bytes in the gateway's encoding, base64."""
    return base64.b64encode(data).decode()


def _nested_txn(txn: Txn) -> Message:
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


def _read_rows(responses: Sequence[RangeResponseOp]) -> tuple[Row, ...]:
    ranges = (response.response_range for response in responses)
    return tuple(read_row(row) for found in ranges if found for row in found.kvs)
