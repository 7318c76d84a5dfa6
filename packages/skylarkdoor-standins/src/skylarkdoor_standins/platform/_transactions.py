"""Requests of etcd's v3 JSON gateway, applied to a `Store`.

As in etcd, the comparisons of a transaction and of those nested in it are all
made before anything is written, and one transaction may neither write a key
twice nor both write and delete it.
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
    """A request that etcd refuses as invalid."""


_RELATIONS: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}


def snake_case(message: Any) -> Any:
    """Return a JSON message with its field names in snake case."""
    if isinstance(message, list):
        return [snake_case(item) for item in message]
    if not isinstance(message, dict):
        return message
    return {
        re.sub(r"[A-Z]", lambda match: "_" + match[0].lower(), name): snake_case(value)
        for name, value in message.items()
    }


def has_writes(txn: Json) -> bool:
    """Return whether a transaction may write in either branch."""
    operations = txn.get("success", []) + txn.get("failure", [])
    return any(_writes(operation) for operation in operations)


def apply_range(store: Store, request: Json) -> Json:
    """Read a key or a range of keys."""
    rows = store.range(_key(request), _bytes(request, "range_end"))
    limit = int(request.get("limit", 0))
    page = rows[:limit] if limit else rows
    answer: Json = {"header": _header(store), "count": str(len(rows))}
    if page:
        answer["kvs"] = [_encode_row(row) for row in page]
    if len(page) < len(rows):
        answer["more"] = True
    return answer


def apply_put(store: Store, request: Json, *, revision: int | None = None) -> Json:
    """Write a key."""
    if revision is None:
        revision = store.revision + 1
    store.put(_key(request), _bytes(request, "value"), revision=revision)
    return {"header": _header(store)}


def apply_delete(store: Store, request: Json, *, revision: int | None = None) -> Json:
    """Delete a key or a range of keys."""
    if revision is None:
        revision = store.revision + 1
    range_end = _bytes(request, "range_end")
    deleted = store.delete(_key(request), range_end, revision=revision)
    answer: Json = {"header": _header(store)}
    if deleted:
        answer["deleted"] = str(deleted)
    return answer


def apply_txn(store: Store, request: Json) -> Json:
    """Apply a transaction with those nested in it, all at one revision.

    Raises:
        InvalidRequestError: The transaction is one that etcd refuses; nothing
            was applied.
    """
    _check_size(request, MAX_TXN_OPS)
    _check_writes(request)
    verdicts = list(_verdicts(store, request))
    answer = _run_branch(store, request, iter(verdicts), store.revision + 1)
    answer["header"] = _header(store)
    return answer


def _writes(operation: Json) -> bool:
    nested = operation.get("request_txn")
    if nested is not None:
        return has_writes(nested)
    return "request_put" in operation or "request_delete_range" in operation


def _check_size(txn: Json, most: int) -> None:
    names = ("compare", "success", "failure")
    size = max(len(txn.get(name, [])) for name in names)
    if size > most:
        raise InvalidRequestError("etcdserver: too many operations in txn request")
    for operation in txn.get("success", []) + txn.get("failure", []):
        if "request_txn" in operation:
            _check_size(operation["request_txn"], most - size)


class _Writes(NamedTuple):
    """Keys put and ranges deleted by some operations."""

    puts: set[bytes]
    deletes: set[tuple[bytes, bytes]]

    def overlaps(self, other: "_Writes") -> bool:
        """Return whether both put a key, or one puts what the other deletes."""
        if self.puts & other.puts:
            return True
        return self.deletes_any(other.puts) or other.deletes_any(self.puts)

    def deletes_any(self, keys: set[bytes]) -> bool:
        """Return whether one of the keys is in a range deleted."""
        return any(
            in_range(key, start, end) for key in keys for start, end in self.deletes
        )

    def union(self, other: "_Writes") -> "_Writes":
        """Return the writes of both."""
        return _Writes(self.puts | other.puts, self.deletes | other.deletes)


def _check_writes(txn: Json) -> _Writes:
    success = _branch_writes(txn.get("success", []))
    return success.union(_branch_writes(txn.get("failure", [])))


def _branch_writes(operations: list[Json]) -> _Writes:
    writes = _Writes(set(), set())
    for operation in operations:
        others = _operation_writes(operation)
        if writes.overlaps(others):
            raise InvalidRequestError("etcdserver: duplicate key given in txn request")
        writes = writes.union(others)
    return writes


def _operation_writes(operation: Json) -> _Writes:
    match operation:
        case {"request_txn": request}:
            return _check_writes(request)
        case {"request_put": request}:
            return _Writes({_key(request)}, set())
        case {"request_delete_range": request}:
            return _Writes(set(), {(_key(request), _bytes(request, "range_end"))})
    return _Writes(set(), set())


def _verdicts(store: Store, txn: Json) -> Iterator[bool]:
    succeeded = all(_compare(store, item) for item in txn.get("compare", []))
    yield succeeded
    for operation in _branch(txn, succeeded):
        if "request_txn" in operation:
            yield from _verdicts(store, operation["request_txn"])


def _run_branch(
    store: Store, txn: Json, verdicts: Iterator[bool], revision: int
) -> Json:
    succeeded = next(verdicts)
    responses = [
        _run_operation(store, operation, verdicts, revision)
        for operation in _branch(txn, succeeded)
    ]
    answer: Json = {"header": _header(store)}
    if succeeded:
        answer["succeeded"] = True
    if responses:
        answer["responses"] = responses
    return answer


def _run_operation(
    store: Store, operation: Json, verdicts: Iterator[bool], revision: int
) -> Json:
    match operation:
        case {"request_range": request}:
            return {"response_range": apply_range(store, request)}
        case {"request_put": request}:
            answer = apply_put(store, request, revision=revision)
            return {"response_put": answer}
        case {"request_delete_range": request}:
            answer = apply_delete(store, request, revision=revision)
            return {"response_delete_range": answer}
        case {"request_txn": request}:
            return {"response_txn": _run_branch(store, request, verdicts, revision)}
    raise InvalidRequestError("etcdserver: unknown operation in txn request")


def _branch(txn: Json, succeeded: bool) -> list[Json]:
    return txn.get("success" if succeeded else "failure", [])


def _compare(store: Store, item: Json) -> bool:
    relation = _RELATIONS.get(item.get("result", "EQUAL"))
    if relation is None:
        raise InvalidRequestError("etcdserver: unknown comparison")
    row = store.get(_key(item))
    match item.get("target", "VERSION"):
        case "VERSION":
            return relation(row.version if row else 0, int(item.get("version", 0)))
        case "CREATE":
            wanted = int(item.get("create_revision", 0))
            return relation(row.create_revision if row else 0, wanted)
        case "MOD":
            wanted = int(item.get("mod_revision", 0))
            return relation(row.mod_revision if row else 0, wanted)
        case "VALUE":
            return row is not None and relation(row.value, _bytes(item, "value"))
    raise InvalidRequestError("etcdserver: unknown comparison target")


def _header(store: Store) -> Json:
    return {"revision": str(store.revision)}


def _key(message: Json) -> bytes:
    key = _bytes(message, "key")
    if not key:
        raise InvalidRequestError("etcdserver: key is not provided")
    return key


def _bytes(message: Json, name: str) -> bytes:
    try:
        return base64.b64decode(message.get(name, ""), validate=True)
    except (TypeError, ValueError) as error:
        raise InvalidRequestError(f"{name} is not base64") from error


def _encode_row(row: StoredRow) -> Json:
    return {
        "key": base64.b64encode(row.key).decode(),
        "value": base64.b64encode(row.value).decode(),
        "create_revision": str(row.create_revision),
        "mod_revision": str(row.mod_revision),
        "version": str(row.version),
    }
