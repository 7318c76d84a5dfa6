"""Tests of decoded rows and headers."""

import json

import pytest

from skylarkdoor_platform import _headers, _records
from skylarkdoord.direct import RawHead, RepeatPolicy
from skylarkdoord.direct.exceptions import BadCallError, RowError

from ._standins import config, route

ROW = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "north",
    "slots": 4,
    "state": "ready",
    "born": 1700000000000,
}


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
        assert record.is_draining

    @pytest.mark.parametrize(
        ("sent", "version"),
        [("v1.2", "v1.2"), (3, "3"), (1.2, "1.2"), (None, ""), ([], ""), ({}, "")],
        ids=str,
    )
    def test_version(self, sent, version):
        """A record without a version, or with one of another type, stays in use."""
        assert decode(version=sent).version == version

    @pytest.mark.parametrize(
        "changes",
        [
            {"service": None},
            {"service": 7},
            {"address": "nowhere"},
            {"address": "10.0.0.1:http"},
            {"zone": []},
            {"slots": "4"},
            {"slots": -1},
            {"slots": True},
            {"state": "resting"},
            {"state": None},
            {"born": 1.5},
        ],
        ids=str,
    )
    def test_malformed(self, changes):
        """A missing field, a wrong type or an unknown value raises an error."""
        with pytest.raises(RowError, match=next(iter(changes))):
            decode(**changes)

    @pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"[]", b"{", b"null"], ids=repr)
    def test_not_an_object(self, data):
        """Bytes that are not a JSON object raise an error."""
        with pytest.raises(RowError):
            _records.decode_upstream("i-1", data)


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
        [{"version": "7"}, {"routes": {}}, {"tenants": [7]}, {"limits": []}],
        ids=str,
    )
    def test_malformed(self, changes):
        """A field of the wrong type makes the whole configuration invalid."""
        with pytest.raises(RowError):
            self.decode(route(), **changes)

    def test_unknown_kind(self):
        """An unknown route type raises an error."""
        with pytest.raises(RowError, match="routeType"):
            self.decode(route(routeType="sometimes"))


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
