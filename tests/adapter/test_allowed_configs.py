"""Tests that every configuration that the pages allow is taken and served."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from skylarkdoor_platform import _headers, _records
from skylarkdoord.direct import RawHead, RepeatPolicy
from skylarkdoord.direct._first_attempts import FirstAttempts
from skylarkdoord.direct._table import RoutingTable
from skylarkdoord.direct.exceptions import KeyUnknownError, RouteAbsentError

from ._configs import HOSTS, LEAF, PREFIXES, configs, encode, plain

UNKNOWN_KEY = "KEY-OF-NOBODY"
REQUESTS = st.tuples(st.sampled_from(HOSTS), st.sampled_from((*PREFIXES, "/other/")))


def decode(drawn):
    """Decode a drawn configuration."""
    return _records.decode_config(encode(drawn).encode())


def request(host, path, key=""):
    """Return a request as the entry reads it."""
    headers = (("Host", host), ("Api-Key", key))
    return _headers.read_request(RawHead("GET", path, headers), 100.0)


def admit(config, host, path, key=""):
    """Return an admitted request."""
    return RoutingTable(config).admit(request(host, path, key), FirstAttempts())


def selected(drawn, host, path):
    """Return the drawn route that a request selects; None if none matches."""
    matching = [
        route
        for route in drawn["routes"]
        if route["hostname"] == host and path.startswith(route["prefix"])
    ]
    return max(matching, key=lambda route: len(route["prefix"]), default=None)


def allowed_services(route):
    """Return the services to which a drawn route leads."""
    split = route.get("weightedServices")
    if not split:
        return {route["service"]}
    return {target["service"] for target in split if target["weight"].value}


def key_owners(drawn):
    """Return the drawn tenants by key."""
    tenants = drawn.get("tenants") or []
    return {key: tenant for tenant in tenants for key in tenant.get("apiKeys") or []}


class TestRoutes:
    """Which route and service a request gets."""

    # Guards against a version that one field keeps out of force as a whole.
    @given(drawn=configs(), place=REQUESTS)
    def test_any(self, drawn, place):
        """The longest prefix selects the route, and the route its services."""
        host, path = place[0], place[1] + LEAF
        config = decode(drawn)
        assert config.version == drawn["version"].value
        expected = selected(drawn, host, path)
        owners = key_owners(drawn)
        if expected is None:
            with pytest.raises(RouteAbsentError):
                admit(config, host, path, next(iter(owners), ""))
        elif expected.get("anonymous") or owners or not drawn.get("tenants"):
            admitted = admit(config, host, path, next(iter(owners), ""))
            assert admitted.route.host == expected["hostname"]
            assert admitted.route.prefix == expected["prefix"]
            assert admitted.service in allowed_services(expected)
            assert admitted.version == drawn["version"].value

    @given(drawn=configs())
    def test_all_fields(self, drawn):
        """A route's fields have the stated values, or a default."""
        for stated, route in zip(drawn["routes"], decode(drawn).routes, strict=True):
            assert route.timeout_s == (plain(stated.get("timeoutMs")) or 30_000) / 1000
            target_ms = plain(stated.get("targetLatencyMs")) or 1000
            assert route.target_latency_s == target_ms / 1000
            pause_ms = plain(stated.get("itlTargetMs")) or 1000
            assert route.max_pause_s == pause_ms / 1000
            assert route.rank == plain(stated.get("priority"), 0)
            assert route.max_attempts == max(1, plain(stated.get("maxAttempts"), 1))
            assert route.is_stream == (stated["routeType"] == "streaming")
            is_idempotent = stated["routeType"] == "idempotent"
            assert (route.repeat is RepeatPolicy.IDEMPOTENT) == is_idempotent
            assert route.is_resumable == bool(stated.get("streamResume"))

    @given(drawn=configs())
    def test_services(self, drawn):
        """Services that run a model are engines with the stated slots."""
        services = decode(drawn).services
        for stated in drawn.get("services") or []:
            service = services[stated["name"]]
            engine = stated.get("runtime")
            assert service.is_engine == bool(engine)
            assert service.slots == plain((engine or {}).get("slots"), 0)

    @given(drawn=configs())
    def test_limits(self, drawn):
        """Limits have the stated values; one that is zero or absent has a default."""
        config = decode(drawn)
        limits = drawn.get("limits") or {}
        body_bytes = plain(limits.get("maxBodyBytes")) or 4 * 1024 * 1024
        assert config.max_body_bytes == body_bytes
        idle_ms = plain(limits.get("idleTimeoutMs")) or 15_000
        assert config.idle_timeout_s == idle_ms / 1000
        head_bytes = plain(limits.get("maxHeaderBytes")) or 64 * 1024
        assert config.max_head_bytes == head_bytes
        head_ms = plain(limits.get("headerTimeoutMs")) or 15_000
        assert config.head_timeout_s == head_ms / 1000


class TestTenants:
    """Whose request it is."""

    # Guards against a version whose keys stay unknown for one field of a tenant.
    @given(drawn=configs(), place=REQUESTS)
    def test_any(self, drawn, place):
        """Each key belongs to its tenant; an unknown key is refused."""
        host, path = place[0], place[1] + LEAF
        config = decode(drawn)
        route = selected(drawn, host, path)
        if route is None:
            return
        for key, tenant in key_owners(drawn).items():
            customer = admit(config, host, path, key).customer
            if route.get("anonymous"):
                assert customer is None
            else:
                assert customer.name == tenant["name"]
        if drawn.get("tenants") and not route.get("anonymous"):
            with pytest.raises(KeyUnknownError):
                admit(config, host, path, UNKNOWN_KEY)
        else:
            assert admit(config, host, path, UNKNOWN_KEY).customer is None

    @given(drawn=configs())
    def test_all_fields(self, drawn):
        """A tenant's fields have the stated values; without a rate it has no limit."""
        stated_tenants = drawn.get("tenants") or []
        customers = decode(drawn).customers
        for stated, customer in zip(stated_tenants, customers, strict=True):
            assert customer.keys == tuple(stated.get("apiKeys") or ())
            assert (customer.rank or 0) == plain(stated.get("priority"), 0)
            assert customer.rate == plain(stated.get("ratePerS"), 0)
            assert customer.burst == plain(stated.get("burstSize"), 0)
            assert customer.counts_tokens == (stated.get("unit") == "token_based")
            assert customer.default_tokens == plain(stated.get("uncachedTokens"), 1)
