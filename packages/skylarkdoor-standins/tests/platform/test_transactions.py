"""Tests of the requests of etcd's gateway, applied to a store."""

import base64

import pytest

from skylarkdoor_standins.platform._store import Store
from skylarkdoor_standins.platform._transactions import (
    InvalidRequestError,
    apply_delete,
    apply_put,
    apply_range,
    apply_txn,
    snake_case,
)


def b64(text: str) -> str:
    """Return a text in base64, as the gateway encodes keys and values."""
    return base64.b64encode(text.encode()).decode()


def put(key: str, value: str = "v") -> dict:
    """Return an operation that puts a key."""
    return {"request_put": {"key": b64(key), "value": b64(value)}}


def version_is(key: str, version: int) -> dict:
    """Return a comparison that holds if a key has the given version."""
    return {"key": b64(key), "target": "VERSION", "version": str(version)}


def nested(**txn) -> dict:
    """Return an operation that is a nested transaction."""
    return {"request_txn": txn}


@pytest.fixture
def store():
    """Return a store with the rows a, b and c, written at revisions 2 to 4."""
    store = Store()
    for key in "abc":
        apply_put(store, {"key": b64(key), "value": b64(f"value of {key}")})
    return store


class TestRange:
    """`apply_range`."""

    def test_row(self, store):
        """A row has its key, value, revisions and version; numbers are strings."""
        apply_put(store, {"key": b64("a"), "value": b64("new")})
        (row,) = apply_range(store, {"key": b64("a")})["kvs"]
        assert row == {
            "key": b64("a"),
            "value": b64("new"),
            "create_revision": "2",
            "mod_revision": "5",
            "version": "2",
        }

    @pytest.mark.parametrize(
        ("start", "end", "keys"),
        [("a", "c", "ab"), ("b", "\0", "bc"), ("\0", "\0", "abc"), ("x", "z", "")],
    )
    def test_ranges(self, store, start, end, keys):
        """A range includes its first key and excludes its end."""
        request = {"key": b64(start), "range_end": b64(end)}
        rows = apply_range(store, request).get("kvs", [])
        assert [row["key"] for row in rows] == [b64(key) for key in keys]

    def test_limit(self, store):
        """A limited response has the total count and the flag `more`."""
        request = {"key": b64("a"), "range_end": b64("z"), "limit": "2"}
        answer = apply_range(store, request)
        assert len(answer["kvs"]) == 2
        assert answer["more"] is True
        assert answer["count"] == "3"

    def test_no_key(self, store):
        """A request without a key is refused."""
        with pytest.raises(InvalidRequestError):
            apply_range(store, {})


class TestDelete:
    """`apply_delete`."""

    def test_range(self, store):
        """A range of rows is deleted at one revision."""
        request = {"key": b64("a"), "range_end": b64("c")}
        assert apply_delete(store, request)["deleted"] == "2"
        assert store.revision == 5
        assert [row.key for row in store.range(b"\0", b"\0")] == [b"c"]

    def test_absent(self, store):
        """Deleting an absent key does not change the revision."""
        apply_delete(store, {"key": b64("x")})
        assert store.revision == 4

    def test_version_restarts(self, store):
        """A key put again after its deletion has a new create revision and version."""
        apply_delete(store, {"key": b64("a")})
        apply_put(store, {"key": b64("a")})
        row = store.get(b"a")
        assert (row.create_revision, row.version) == (6, 1)


class TestTxn:
    """`apply_txn`."""

    @pytest.mark.parametrize(
        ("comparison", "holds"),
        [
            ({"target": "VERSION", "version": "1"}, True),
            ({"target": "VERSION", "result": "GREATER", "version": "1"}, False),
            ({"target": "MOD", "mod_revision": "2"}, True),
            ({"target": "MOD", "result": "LESS", "mod_revision": "2"}, False),
            ({"target": "CREATE", "result": "NOT_EQUAL", "create_revision": "3"}, True),
            ({"target": "VALUE", "value": b64("value of a")}, True),
            ({"target": "VALUE", "value": b64("other")}, False),
        ],
    )
    def test_comparisons(self, store, comparison, holds):
        """A comparison applies its relation to its target."""
        answer = apply_txn(store, {"compare": [{"key": b64("a"), **comparison}]})
        assert answer.get("succeeded", False) is holds

    def test_absent_value(self, store):
        """A comparison of the value of an absent key fails, even NOT_EQUAL."""
        comparison = {"key": b64("x"), "target": "VALUE", "result": "NOT_EQUAL"}
        assert "succeeded" not in apply_txn(store, {"compare": [comparison]})

    def test_failure_branch(self, store):
        """If a comparison fails, the failure branch is run."""
        reads = [{"request_range": {"key": b64("a")}}]
        answer = apply_txn(
            store,
            {"compare": [version_is("a", 0)], "success": [put("a")], "failure": reads},
        )
        (response,) = answer["responses"]
        assert response["response_range"]["kvs"][0]["value"] == b64("value of a")
        assert store.revision == 4

    def test_nested_results(self, store):
        """Nested transactions succeed or fail independently, at one revision."""
        failing = nested(compare=[version_is("a", 0)], success=[put("a")])
        succeeding = nested(compare=[version_is("x", 0)], success=[put("x"), put("y")])
        answer = apply_txn(store, {"success": [failing, succeeding]})
        results = [
            response["response_txn"].get("succeeded", False)
            for response in answer["responses"]
        ]
        assert results == [False, True]
        assert store.get(b"x").mod_revision == store.get(b"y").mod_revision == 5
        assert answer["header"]["revision"] == "5"

    def test_comparisons_come_first(self, store):
        """A nested comparison does not see the writes of an earlier sibling."""
        writer = nested(success=[put("x")])
        reader = nested(compare=[version_is("x", 0)], success=[put("y")])
        answer = apply_txn(store, {"success": [writer, reader]})
        assert answer["responses"][1]["response_txn"]["succeeded"] is True

    def test_duplicate_key(self, store):
        """A transaction that puts a key twice is refused as a whole."""
        twice = [nested(success=[put("x")]), nested(success=[put("x")])]
        with pytest.raises(InvalidRequestError):
            apply_txn(store, {"success": twice})
        assert store.get(b"x") is None

    # Guards against a transaction that fails and leaves some of its writes.
    def test_all_or_nothing(self, store):
        """A transaction whose last operation is invalid writes nothing."""
        before = store.revision
        malformed = {"request_put": {"key": b64("y"), "value": "?"}}
        with pytest.raises(InvalidRequestError):
            apply_txn(store, {"success": [put("x"), malformed]})
        assert store.get(b"x") is None
        assert store.revision == before

    @pytest.mark.parametrize(
        "name", ["version", "create_revision", "mod_revision", "limit"]
    )
    def test_malformed_number(self, store, name):
        """A malformed number is refused as an invalid request."""
        target = {"version": "VERSION", "create_revision": "CREATE"}.get(name, "MOD")
        with pytest.raises(InvalidRequestError, match=name):
            if name == "limit":
                apply_range(store, {"key": b64("x"), "limit": "many"})
            else:
                compare = {"key": b64("x"), "target": target, name: "x"}
                apply_txn(store, {"compare": [compare]})

    @pytest.mark.parametrize("end", ["", "y", "\0"])
    def test_put_and_delete(self, store, end):
        """A transaction that puts and deletes a key is refused as a whole."""
        request = {"key": b64("x"), "range_end": b64(end)}
        delete = {"request_delete_range": request}
        with pytest.raises(InvalidRequestError):
            apply_txn(store, {"success": [nested(success=[put("x")]), delete]})

    def test_put_beside_deleted_range(self, store):
        """A transaction may put a key outside the range that it deletes."""
        request = {"key": b64("a"), "range_end": b64("c")}
        delete = {"request_delete_range": request}
        apply_txn(store, {"success": [delete, put("c")]})
        assert [row.key for row in store.range(b"\0", b"\0")] == [b"c"]

    def test_same_key_in_both_branches(self, store):
        """Both branches may put the same key, since only one of them is run."""
        apply_txn(store, {"success": [put("x")], "failure": [put("x")]})
        assert store.get(b"x") is not None

    @pytest.mark.parametrize(("outer", "inner"), [(129, 0), (100, 29)])
    def test_too_many(self, store, outer, inner):
        """A transaction may have 128 operations, less those of the enclosing one."""
        operations = [put(f"k{index}") for index in range(max(outer - 1, 0))]
        child = nested(success=[put(f"n{index}") for index in range(inner)])
        with pytest.raises(InvalidRequestError):
            apply_txn(store, {"success": [*operations, child]})


class TestSnakeCase:
    """`snake_case`."""

    def test_nested_names(self):
        """Field names in camel case are converted; values stay unchanged."""
        message = {"requestPut": [{"rangeEnd": "aB="}], "mod_revision": "1"}
        expected = {"request_put": [{"range_end": "aB="}], "mod_revision": "1"}
        assert snake_case(message) == expected
