"""Applies requests of etcd's v3 JSON gateway to a `Store`.

As in etcd, the comparisons of a transaction and of its nested transactions are all
evaluated before any write, and a transaction that puts a key twice, or both puts and
deletes it, is refused.
"""

import base64
import operator
import re
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from skylarkdoor_standins.platform._store import Store, StoredRow, in_range

MAX_TXN_OPS = 128

Json = dict[str, Any]


class InvalidRequestError(Exception):
    """The request is one that etcd refuses as invalid."""


_RELATIONS: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}


def snake_case(message: Any) -> Any:
    """Return a JSON message with its field names converted to snake case."""
    if isinstance(message, list):
        return [snake_case(item) for item in message]
    if not isinstance(message, dict):
        return message
    return {
        re.sub(r"[A-Z]", lambda match: "_" + match[0].lower(), name): snake_case(value)
        for name, value in message.items()
    }


def has_writes(txn: Json) -> bool:
    """Return whether either branch of a transaction contains a put or a delete."""
    operations = txn.get("success", []) + txn.get("failure", [])
    return any(_is_write(operation) for operation in operations)


def apply_range(store: Store, request: Json) -> Json:
    """Read a key or a range of keys and return the response.

    Raises:
        InvalidRequestError: The key is missing, or a field is malformed.
    """
    rows = store.range(_decode_key(request), _decode_bytes(request, "range_end"))
    limit = _decode_int(request, "limit")
    page = rows[:limit] if limit else rows
    response: Json = {"header": _header(store), "count": str(len(rows))}
    if page:
        response["kvs"] = [_encode_row(row) for row in page]
    if len(page) < len(rows):
        response["more"] = True
    return response


def apply_put(store: Store, request: Json, *, revision: int | None = None) -> Json:
    """Write a key and return the response.

    Args:
        store: The store to write to.
        request: The request.
        revision: The revision of the write; None for the store's next one.

    Raises:
        InvalidRequestError: The key is missing, or a field is not valid base64.
    """
    if revision is None:
        revision = store.revision + 1
    store.put(_decode_key(request), _decode_bytes(request, "value"), revision=revision)
    return {"header": _header(store)}


def apply_delete(store: Store, request: Json, *, revision: int | None = None) -> Json:
    """Delete a key or a range of keys and return the response.

    Args:
        store: The store to delete from.
        request: The request.
        revision: The revision of the deletion; None for the store's next one.

    Raises:
        InvalidRequestError: The key is missing, or a field is not valid base64.
    """
    if revision is None:
        revision = store.revision + 1
    range_end = _decode_bytes(request, "range_end")
    deleted = store.delete(_decode_key(request), range_end, revision=revision)
    response: Json = {"header": _header(store)}
    if deleted:
        response["deleted"] = str(deleted)
    return response


def apply_txn(store: Store, request: Json) -> Json:
    """Apply a transaction and those nested in it at one revision; return the response.

    Raises:
        InvalidRequestError: The transaction is invalid; nothing was applied.
    """
    _check_operation_count(request, MAX_TXN_OPS)
    _collect_writes(request)
    compare_results = list(_compare_results(store, request))
    changed = store.snapshot()
    response = _run_branch(
        changed, request, iter(compare_results), changed.revision + 1
    )
    store.replace(changed)
    response["header"] = _header(store)
    return response


def _is_write(operation: Json) -> bool:
    nested = operation.get("request_txn")
    if nested is not None:
        return has_writes(nested)
    return "request_put" in operation or "request_delete_range" in operation


def _check_operation_count(txn: Json, max_ops: int) -> None:
    sections = ("compare", "success", "failure")
    operation_count = max(len(txn.get(section, [])) for section in sections)
    if operation_count > max_ops:
        raise InvalidRequestError("etcdserver: too many operations in txn request")
    for operation in txn.get("success", []) + txn.get("failure", []):
        if "request_txn" in operation:
            _check_operation_count(operation["request_txn"], max_ops - operation_count)


class _WriteSet(NamedTuple):
    """The keys put and the ranges deleted by a set of operations."""

    puts: set[bytes]
    deletes: set[tuple[bytes, bytes]]

    def overlaps(self, other: "_WriteSet") -> bool:
        """Return whether both put the same key, or one puts a key the other deletes."""
        if self.puts & other.puts:
            return True
        return self.deletes_any(other.puts) or other.deletes_any(self.puts)

    def deletes_any(self, keys: set[bytes]) -> bool:
        """Return whether any of the keys is in a deleted range."""
        return any(
            in_range(key, start, end) for key in keys for start, end in self.deletes
        )

    def union(self, other: "_WriteSet") -> "_WriteSet":
        """Return the writes of both sets."""
        return _WriteSet(self.puts | other.puts, self.deletes | other.deletes)


def _collect_writes(txn: Json) -> _WriteSet:
    success = _collect_branch_writes(txn.get("success", []))
    return success.union(_collect_branch_writes(txn.get("failure", [])))


def _collect_branch_writes(operations: list[Json]) -> _WriteSet:
    writes = _WriteSet(set(), set())
    for operation in operations:
        operation_writes = _collect_operation_writes(operation)
        if writes.overlaps(operation_writes):
            raise InvalidRequestError("etcdserver: duplicate key given in txn request")
        writes = writes.union(operation_writes)
    return writes


def _collect_operation_writes(operation: Json) -> _WriteSet:
    match operation:
        case {"request_txn": request}:
            return _collect_writes(request)
        case {"request_put": request}:
            return _WriteSet({_decode_key(request)}, set())
        case {"request_delete_range": request}:
            return _WriteSet(
                set(), {(_decode_key(request), _decode_bytes(request, "range_end"))}
            )
    return _WriteSet(set(), set())


def _compare_results(store: Store, txn: Json) -> Iterator[bool]:
    succeeded = all(_comparison_holds(store, item) for item in txn.get("compare", []))
    yield succeeded
    for operation in _selected_operations(txn, succeeded):
        if "request_txn" in operation:
            yield from _compare_results(store, operation["request_txn"])


def _run_branch(
    store: Store, txn: Json, compare_results: Iterator[bool], revision: int
) -> Json:
    succeeded = next(compare_results)
    responses = [
        _run_operation(store, operation, compare_results, revision)
        for operation in _selected_operations(txn, succeeded)
    ]
    response: Json = {"header": _header(store)}
    if succeeded:
        response["succeeded"] = True
    if responses:
        response["responses"] = responses
    return response


def _run_operation(
    store: Store, operation: Json, compare_results: Iterator[bool], revision: int
) -> Json:
    match operation:
        case {"request_range": request}:
            return {"response_range": apply_range(store, request)}
        case {"request_put": request}:
            response = apply_put(store, request, revision=revision)
            return {"response_put": response}
        case {"request_delete_range": request}:
            response = apply_delete(store, request, revision=revision)
            return {"response_delete_range": response}
        case {"request_txn": request}:
            return {
                "response_txn": _run_branch(store, request, compare_results, revision)
            }
    raise InvalidRequestError("etcdserver: unknown operation in txn request")


def _selected_operations(txn: Json, succeeded: bool) -> list[Json]:
    return txn.get("success" if succeeded else "failure", [])


def _comparison_holds(store: Store, item: Json) -> bool:
    relation = _RELATIONS.get(item.get("result", "EQUAL"))
    if relation is None:
        raise InvalidRequestError("etcdserver: unknown comparison")
    row = store.get(_decode_key(item))
    match item.get("target", "VERSION"):
        case "VERSION":
            return relation(row.version if row else 0, _decode_int(item, "version"))
        case "CREATE":
            expected = _decode_int(item, "create_revision")
            return relation(row.create_revision if row else 0, expected)
        case "MOD":
            expected = _decode_int(item, "mod_revision")
            return relation(row.mod_revision if row else 0, expected)
        case "VALUE":
            return row is not None and relation(row.value, _decode_bytes(item, "value"))
    raise InvalidRequestError("etcdserver: unknown comparison target")


def _header(store: Store) -> Json:
    return {"revision": str(store.revision)}


def _decode_key(message: Json) -> bytes:
    key = _decode_bytes(message, "key")
    if not key:
        raise InvalidRequestError("etcdserver: key is not provided")
    return key


def _decode_int(message: Json, name: str) -> int:
    try:
        return int(message.get(name, 0))
    except (TypeError, ValueError) as error:
        raise InvalidRequestError(f"{name} is not a whole number") from error


def _decode_bytes(message: Json, name: str) -> bytes:
    try:
        return base64.b64decode(message.get(name, ""), validate=True)
    except (TypeError, ValueError) as error:
        raise InvalidRequestError(f"{name} is not valid base64") from error


def _encode_row(row: StoredRow) -> Json:
    return {
        "key": base64.b64encode(row.key).decode(),
        "value": base64.b64encode(row.value).decode(),
        "create_revision": str(row.create_revision),
        "mod_revision": str(row.mod_revision),
        "version": str(row.version),
    }
