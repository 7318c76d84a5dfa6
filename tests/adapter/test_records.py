"""Rows and headers of the platform, decoded into the product's types."""

import json

import pytest

from skylarkdoor_platform import _headers, _records
from skylarkdoord.direct import RawHead, Repeat
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
    """Return the upstream of a row; a field that is None is left out."""
    fields = {name: v for name, v in (ROW | changes).items() if v is not None}
    return _records.decode_upstream("i-1", json.dumps(fields).encode())


class TestUpstreamRows:
    """`decode_upstream`."""

    def test_whole(self):
        """Every field has its meaning."""
        record = decode(state="draining")
        assert record.instance == "i-1"
        assert record.data_centre == "north"
        assert record.started_ms == 1700000000000
        assert record.is_leaving

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
    def test_spoilt(self, changes):
        """A row with a field missing, of another type or unknown names nothing."""
        with pytest.raises(RowError, match=next(iter(changes))):
            decode(**changes)

    @pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"[]", b"{", b"null"], ids=repr)
    def test_unreadable(self, data):
        """Bytes that are no object name nothing."""
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
            ("idempotent", Repeat.IDEMPOTENT, False),
            ("non_idempotent", Repeat.ONCE, False),
            ("streaming", Repeat.ONCE, True),
        ],
    )
    def test_kinds(self, kind, repeat, is_stream):
        """A stream may not repeat unless it may be resumed."""
        (made,) = self.decode(route(routeType=kind)).routes
        assert (made.repeat, made.is_stream) == (repeat, is_stream)
        assert made.may_repeat == (repeat is Repeat.IDEMPOTENT)

    def test_resumable(self):
        """A stream that may be resumed may repeat."""
        (made,) = self.decode(route(routeType="streaming", streamResume=True)).routes
        assert made.may_repeat

    def test_split(self):
        """A split route names several services; those without weight get nothing."""
        split = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
            {"service": "c", "weight": 0},
        ]
        (made,) = self.decode(route(weightedServices=split)).routes
        assert [target.service for target in made.targets] == ["a", "b"]

    def test_units(self):
        """Times are in seconds."""
        (made,) = self.decode(route(timeoutMs=1500, targetLatencyMs=250)).routes
        assert (made.timeout_s, made.target_latency_s) == (1.5, 0.25)

    @pytest.mark.parametrize(
        "changes",
        [{"version": "7"}, {"routes": {}}, {"tenants": [7]}, {"limits": []}],
        ids=str,
    )
    def test_spoilt(self, changes):
        """A configuration with a field of another type is refused as a whole."""
        with pytest.raises(RowError):
            self.decode(route(), **changes)

    def test_unknown_kind(self):
        """A route of an unknown kind is refused, not guessed."""
        with pytest.raises(RowError, match="routeType"):
            self.decode(route(routeType="sometimes"))


class TestHeads:
    """`read_request`."""

    def read(self, **headers):
        """Return the request of a head with these headers."""
        fields = tuple((name.replace("_", "-"), v) for name, v in headers.items())
        return _headers.read_request(RawHead("GET", "/", fields), 100.0)

    def test_fields(self):
        """Headers become typed fields."""
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
        """A deadline that is no time is told."""
        with pytest.raises(BadCallError, match="Deadline-Ms"):
            self.read(Deadline_Ms=value)

    def test_tokens(self):
        """Tokens that are no numbers are told."""
        with pytest.raises(BadCallError, match="Token-Usage"):
            self.read(Token_Usage="many,few")

    def test_unreadable_prefix(self):
        """A prefix is only a hint; one that can't be read is none."""
        assert self.read(Prefix_Hash="5c1e:many").prefix == ()
