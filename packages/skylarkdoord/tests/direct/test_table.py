"""Tests of `RoutingTable`."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from skylarkdoord.direct import FleetConfig
from skylarkdoord.direct._first_attempts import FirstAttempts
from skylarkdoord.direct._table import RoutingTable

from ._make import make_customer, make_request, make_route

RANKS = st.integers(0, 20) | st.integers(0, 2**53)
# An entry states the number of waiting requests for each tier up to the lowest.
MAX_TIERS = 256


def tiers(customer_ranks, route_ranks):
    """Return the tier of a request by the rank of its customer and its route."""
    customers = tuple(
        make_customer(name=f"c{rank}", keys=(f"k{rank}",), rank=rank)
        for rank in customer_ranks
    )
    routes = tuple(
        make_route(name=f"r{rank}", prefix=f"/{rank}/", rank=rank)
        for rank in route_ranks
    )
    table = RoutingTable(FleetConfig(1, routes, {}, customers))
    found = {}
    for customer in customer_ranks:
        for route in route_ranks:
            request = make_request(target=f"/{route}/1", key=f"k{customer}")
            admitted = table.admit(request, FirstAttempts())
            found[customer, route] = admitted.rank
    return found


class TestTiers:
    """The tier of an admitted request."""

    def test_low_ranks(self):
        """The customer's rank takes precedence over the route's."""
        found = tiers([0, 1, 2], [0, 3])
        assert found == {
            (0, 0): 0,
            (0, 3): 3,
            (1, 0): 16,
            (1, 3): 19,
            (2, 0): 32,
            (2, 3): 35,
        }

    # Guards against reports with millions of tiers, and offers that can't state theirs.
    @pytest.mark.parametrize("rank", [16, 10_000_000, 2**53])
    def test_high_rank(self, rank):
        """High ranks keep their order in few tiers."""
        found = tiers([0, 5, rank], [0, 5, rank])
        assert sorted(found, key=found.__getitem__) == sorted(found)
        assert len(set(found.values())) == len(found)
        assert max(found.values()) < MAX_TIERS

    @given(
        customers=st.lists(RANKS, max_size=40, unique=True),
        routes=st.lists(RANKS, max_size=40, unique=True),
    )
    def test_any(self, customers, routes):
        """No request has a higher tier than one that is at least as important."""
        found = tiers(customers, routes)
        assert max(found.values(), default=0) < MAX_TIERS
        for route in routes:
            order = [found[customer, route] for customer in sorted(customers)]
            assert order == sorted(order)
        for customer in customers:
            order = [found[customer, route] for route in sorted(routes)]
            assert order == sorted(order)
