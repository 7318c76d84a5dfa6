"""Tests of a configuration of which a part can't be read."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from skylarkdoor_platform import PlatformAdapter, _records
from skylarkdoord.direct import RepeatPolicy, Row
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._metrics import CONFIG_UNREAD_PARTS
from skylarkdoord.direct.exceptions import (
    ConfigUnreadError,
    KeyUnknownError,
    RouteAbsentError,
    RowError,
)

from ._configs import LEAF, configs, encode
from ._standins import HOST, Server, config, reply, route
from .test_allowed_configs import admit, allowed_services, selected

TENANT = {"name": "garden", "apiKeys": ["k1"], "priority": 1}
BROKEN_FIELDS = {
    "timeoutMs": "soon",
    "priority": -1,
    "maxAttempts": 1.5,
    "anonymous": "yes",
    "service": 7,
    "weightedServices": [{"service": "desk", "weight": 0}],
    "streamResume": 1,
}


def decode(*routes, **changes):
    """Decode a configuration of these routes."""
    return _records.decode_config(json.dumps(config(*routes, **changes)).encode())


class TestRoutes:
    """A route that can't be read."""

    # Guards against one route that keeps all others at the former version.
    @given(drawn=configs(), data=st.data())
    def test_any(self, drawn, data):
        """Its requests are refused; those of all other routes are served."""
        if not drawn["routes"]:
            return
        drawn["tenants"] = None
        broken = data.draw(st.sampled_from(drawn["routes"]))
        name = data.draw(st.sampled_from(sorted(BROKEN_FIELDS)))
        broken["weightedServices"] = None
        broken[name] = BROKEN_FIELDS[name]
        read = _records.decode_config(encode(drawn).encode())
        assert len(read.problems) == 1
        for stated in drawn["routes"]:
            host, path = stated["hostname"], stated["prefix"] + LEAF
            if selected(drawn, host, path) is broken:
                with pytest.raises(ConfigUnreadError):
                    admit(read, host, path)
            else:
                assert admit(read, host, path).service in allowed_services(stated)

    # Guards against a request that the route with the next shorter prefix takes over.
    def test_nested(self):
        """Its requests don't fall to a route with a shorter prefix."""
        read = decode(
            route(prefix="/"), route(prefix="/a/", timeoutMs="soon"), tenants=[]
        )
        assert admit(read, HOST, "/other").service == "desk"
        with pytest.raises(ConfigUnreadError):
            admit(read, HOST, "/a/b")

    @pytest.mark.parametrize("prefix", [None, 7, "", "/a", "a/"])
    def test_prefix(self, prefix):
        """Without its prefix, no request of the host is served, others are."""
        read = decode(route(), route(prefix=prefix), route(hostname="other.example"))
        with pytest.raises(ConfigUnreadError):
            admit(read, HOST, "/desk/1")
        assert admit(read, "other.example", "/desk/1").service == "desk"

    @pytest.mark.parametrize("host", [None, 7])
    def test_host(self, host):
        """Without its host, any request may be its own, and nothing is taken."""
        with pytest.raises(RowError, match="hostname"):
            decode(route(), route(hostname=host))

    @pytest.mark.parametrize("kind", ["sometimes", "", None])
    def test_kind(self, kind):
        """A route of unknown type is served, and runs each request at most once."""
        read = decode(route(routeType=kind))
        admitted = admit(read, HOST, "/desk/1")
        assert admitted.route.repeat is RepeatPolicy.ONCE
        assert not admitted.route.may_repeat
        assert "routeType" in read.problems[0]

    async def test_status(self, start):
        """A caller gets 503, which promises that the request has not run."""
        async with Server(reply()) as server:
            async with start([route(timeoutMs="soon")], [server]) as caller:
                status, headers, _ = await caller.get("/desk/1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert server.requests == []


class TestTenants:
    """A tenant that can't be read."""

    # Guards against a broken tenant that opens all routes, or refuses for good.
    @pytest.mark.parametrize(
        "broken",
        [
            {"name": None},
            {"name": "a\r\nTenant: b"},
            {"apiKeys": "k1"},
            {"apiKeys": ["k1", 7]},
            {"ratePerS": "many"},
            {"priority": 0.5},
        ],
        ids=str,
    )
    def test_broken(self, broken):
        """Its keys, which may be any, are refused; those of others are served."""
        other = {"name": "yard", "apiKeys": ["k2"]}
        read = decode(route(anonymous=False), tenants=[TENANT | broken, other])
        assert len(read.problems) == 1
        assert admit(read, HOST, "/desk/1", "k2").customer.name == "yard"
        for key in ("k1", "k3", ""):
            with pytest.raises(ConfigUnreadError):
                admit(read, HOST, "/desk/1", key)

    def test_only(self):
        """A key is required also if no tenant can be read."""
        read = decode(route(anonymous=False), tenants=[TENANT | {"name": None}])
        with pytest.raises(ConfigUnreadError):
            admit(read, HOST, "/desk/1")

    def test_sound(self):
        """If all tenants can be read, an unknown key is refused for good."""
        read = decode(route(anonymous=False), tenants=[TENANT])
        with pytest.raises(KeyUnknownError):
            admit(read, HOST, "/desk/1", "k3")


class TestOtherParts:
    """Services and limits that can't be read."""

    @pytest.mark.parametrize("service", [{}, {"name": "desk", "runtime": []}], ids=str)
    def test_service(self, service):
        """The routes to it are served."""
        read = decode(route(), services=[service, {"name": "other"}])
        assert list(read.services) == ["other"]
        assert len(read.problems) == 1
        assert admit(read, HOST, "/desk/1").service == "desk"

    @pytest.mark.parametrize(
        "limits", [[], {"maxBodyBytes": "1"}, {"idleTimeoutMs": -1}], ids=str
    )
    def test_limits(self, limits):
        """The default limits are used."""
        read = decode(route(), limits=limits)
        assert (read.max_body_bytes, read.idle_timeout_s) == (4 * 1024 * 1024, 15.0)
        assert read.problems[0].startswith("limits: ")


class TestFleet:
    """A fleet that gets such a configuration."""

    def test_loud(self, caplog):
        """The version is in force, and what can't be read is logged and counted."""
        caplog.set_level("INFO", "skylarkdoor")
        fleet = Fleet(PlatformAdapter())
        broken = config(route(), route(prefix="/a/", timeoutMs="soon"), version=8)
        fleet.apply_config(Row("config", 1, json.dumps(broken).encode()), source="test")
        assert fleet.table.config.version == 8
        assert CONFIG_UNREAD_PARTS._value.get() == 1
        names = [record.event_name for record in caplog.records]
        assert names.count("config_part_rejected") == 1
        sound = config(route(), version=9)
        fleet.apply_config(Row("config", 2, json.dumps(sound).encode()), source="test")
        assert CONFIG_UNREAD_PARTS._value.get() == 0

    def test_dropped_route(self):
        """A route that the version drops is not served from the former one."""
        read = decode(route(prefix="/a/", timeoutMs="soon"))
        with pytest.raises(RouteAbsentError):
            admit(read, HOST, "/desk/1")
