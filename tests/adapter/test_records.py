"""Tests of decoded rows and headers."""

import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from yarl import URL

from skylarkdoor.wire import pb
from skylarkdoor_platform import _headers, _records
from skylarkdoord.direct import RawHead, RepeatPolicy
from skylarkdoord.direct.exceptions import BadCallError, RowError

from ._standins import config, route

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=2**31)
    | st.floats()
    | st.text(st.characters())
    | st.sampled_from(["ready", "10.0.0.1:80", "[::1]:80", "a:99999", "\ud800"]),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)

ROW = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "north",
    "version": "v1.2",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 3,
    "born": 1700000000000,
}
# Whole rows with up to three other fields, so that some decode.
FOREIGN_ROWS = st.dictionaries(st.sampled_from(sorted(ROW)), VALUES, max_size=3).map(
    lambda changes: ROW | changes
)


def decode(**changes):
    """Decode a row with changed fields; a field that is None is left out."""
    fields = {name: v for name, v in (ROW | changes).items() if v is not None}
    return _records.decode_upstream("i-1", json.dumps(fields).encode())


class TestUpstreamRows:
    """`decode_upstream`."""

    def test_all_fields(self):
        """All fields are decoded."""
        record = decode(state="draining")
        assert record.instance == "i-1"
        assert record.data_centre == "north"
        assert record.started_ms == 1700000000000
        assert record.version == "v1.2"
        assert record.is_draining

    # Guards against a row of another writer that brings back a server that has left.
    @pytest.mark.parametrize("missing", sorted(set(ROW) - {"born"}))
    def test_missing(self, missing):
        """A row that lacks any field but the time of the start names no server."""
        with pytest.raises(RowError, match=missing):
            decode(**{missing: None})

    @pytest.mark.parametrize(
        "changes",
        [
            {"service": 7},
            {"service": "\ud800"},
            {"service": "s" * 1000},
            {"address": "nowhere"},
            {"address": "10.0.0.1:http"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:65536"},
            {"address": "10.0.0.1:\u0664\u0662"},
            {"address": "mün..chen:80"},
            {"address": f"{'h' * 64}:80"},
            {"address": "user@10.0.0.1:80"},
            {"zone": []},
            {"version": 3},
            {"version": []},
            {"slots": "4"},
            {"slots": -1},
            {"slots": True},
            {"slots": 10**400},
            {"slots": 2**32},
            {"state": "resting"},
            {"born": 1.5},
            {"born": 10**400},
            {"sequence": "3"},
            {"sequence": -1},
            {"coldRemainingMs": "0"},
            {"coldRemainingMs": 10**400},
        ],
        ids=str,
    )
    def test_malformed(self, changes):
        """A missing field, a wrong type or an unknown value raises an error."""
        with pytest.raises(RowError, match=next(iter(changes))):
            decode(**changes)

    # Guards against a row of another writer that ends the process that reads it.
    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\xff\xfe",
            b"[]",
            b"{",
            b"null",
            b"[" * 100_000,
            b'{"a":' * 100_000,
            b'{"slots": NaN}',
            b'{"slots": -Infinity}',
            b'{"slots": 1e999}',
            b'{"slots": 4, "slots": 4}',
            b'"' + b"x" * 1_000_000 + b'"',
        ],
        ids=lambda data: repr(data[:20]),
    )
    def test_not_an_object(self, data):
        """Bytes that are not a JSON object raise an error."""
        for decoder in (_records.decode_config, _records.decode_load):
            with pytest.raises(RowError):
                decoder(data)
        with pytest.raises(RowError):
            _records.decode_upstream("i-1", data)
        with pytest.raises(RowError):
            _records.decode_upstream_age(data)

    @pytest.mark.parametrize("key", ["", "i 1", "i\n1", "\ud800", "î", "i" * 201])
    def test_key(self, key):
        """A key that can't be sent in a header names no server."""
        with pytest.raises(RowError, match="key"):
            _records.decode_upstream(key, json.dumps(ROW).encode())

    # Guards against limits that are checked only where a record is used.
    @given(
        key=st.text() | st.just("i-1"),
        data=st.binary() | FOREIGN_ROWS.map(lambda row: json.dumps(row).encode()),
    )
    @example("i-1", json.dumps(ROW).encode())
    def test_any_row(self, key, data):
        """Whatever decodes can be called, sent to other entries and logged."""
        try:
            record = _records.decode_upstream(key, data)
        except RowError as error:
            str(error).encode()
            return
        assert URL(f"http://{record.address}/", encoded=True).port
        pb.ServiceVersions(service=record.service, versions=[record.version])
        pb.Listed(leaving=record.is_draining, slots=record.slots)
        pb.StoreRow(key=record.instance, data=data)
        json.dumps(record).encode()


class TestLoadReports:
    """What a server says of its load."""

    @pytest.mark.parametrize(("stated", "started_ms"), [({}, 0), ({"born": 7}, 7)])
    def test_start(self, stated, started_ms):
        """It states when it started, or nothing of it."""
        report = {"running": 1, "waiting": 0} | stated
        load = _records.decode_load(json.dumps(report).encode())
        assert load.started_ms == started_ms


class TestConfigRows:
    """`decode_config`."""

    def decode(self, *routes, **changes):
        """Return a configuration of these routes."""
        return _records.decode_config(json.dumps(config(*routes, **changes)).encode())

    @pytest.mark.parametrize(
        ("kind", "repeat", "is_stream"),
        [
            ("idempotent", RepeatPolicy.IDEMPOTENT, False),
            ("non_idempotent", RepeatPolicy.ONCE, False),
            ("streaming", RepeatPolicy.ONCE, True),
        ],
    )
    def test_kinds(self, kind, repeat, is_stream):
        """A stream that is not resumable may not be repeated."""
        (decoded,) = self.decode(route(routeType=kind)).routes
        assert (decoded.repeat, decoded.is_stream) == (repeat, is_stream)
        assert decoded.may_repeat == (repeat is RepeatPolicy.IDEMPOTENT)

    def test_resumable(self):
        """A resumable stream may be repeated."""
        (decoded,) = self.decode(route(routeType="streaming", streamResume=True)).routes
        assert decoded.may_repeat

    def test_split(self):
        """A split route has several targets; those without weight are left out."""
        split = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
            {"service": "c", "weight": 0},
        ]
        (decoded,) = self.decode(route(weightedServices=split)).routes
        assert [target.service for target in decoded.targets] == ["a", "b"]

    def test_units(self):
        """Times are converted to seconds."""
        (decoded,) = self.decode(route(timeoutMs=1500, targetLatencyMs=250)).routes
        assert (decoded.timeout_s, decoded.target_latency_s) == (1.5, 0.25)

    @pytest.mark.parametrize(
        "changes",
        [
            {"version": "7"},
            {"version": 7.5},
            {"version": None},
            {"version": 2**63},
            {"routes": {}},
            {"routes": None},
            {"routes": [7]},
            {"tenants": {}},
            {"tenants": [7]},
            {"services": {}},
        ],
        ids=str,
    )
    def test_malformed(self, changes):
        """Without its version or a list of its parts, it is invalid as a whole."""
        with pytest.raises(RowError):
            self.decode(route(), **changes)


class TestHeads:
    """`read_request`."""

    def read(self, **headers):
        """Decode the request with these headers, received at 100 s."""
        fields = tuple((name.replace("_", "-"), v) for name, v in headers.items())
        return _headers.read_request(RawHead("GET", "/", fields), 100.0)

    def test_fields(self):
        """Headers are decoded into typed fields."""
        request = self.read(
            Host="desk.example:8080",
            Attempt_Id="a1",
            Deadline_Ms="1500",
            Token_Usage="1460,80",
            Prefix_Hash="5c1e:800,91bd:410",
        )
        assert request.host == "desk.example"
        assert request.deadline == 101.5
        assert (request.prompt_tokens, request.max_tokens) == (1460, 80)
        assert request.prefix == (("5c1e", 800), ("91bd", 410))

    @pytest.mark.parametrize("value", ["soon", "nan", "inf"])
    def test_deadline(self, value):
        """A deadline that is not a finite number raises an error."""
        with pytest.raises(BadCallError, match="Deadline-Ms"):
            self.read(Deadline_Ms=value)

    def test_tokens(self):
        """Token counts that are not numbers raise an error."""
        with pytest.raises(BadCallError, match="Token-Usage"):
            self.read(Token_Usage="many,few")

    def test_malformed_prefix(self):
        """A malformed prefix is ignored, as it is only a hint."""
        assert self.read(Prefix_Hash="5c1e:many").prefix == ()
