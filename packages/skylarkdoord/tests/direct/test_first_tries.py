"""How long a caller has waited since its first try."""

import random

import pytest

from skylarkdoord.direct._first_tries import MIN_SAMPLES, FirstTries

from ._make import make_request, make_route

# Callers wait for 6.4 s at the most, and the route allows 6 s.
MOST_S = 6.4
ROUTE = make_route(timeout_s=6.0)


def request(left_s, *, is_kept=False):
    """Return a request whose caller waits for so long."""
    made = make_request(is_kept=is_kept)
    return made._replace(deadline=made.received + left_s)


def learned(*limits):
    """Return what is learned from callers with these limits."""
    first_tries = FirstTries()
    for _ in range(MIN_SAMPLES):
        for limit in limits:
            first_tries.waited_s(request(limit, is_kept=True), ROUTE)
    return first_tries


class TestFirstTries:
    """`FirstTries`."""

    def test_one_limit(self):
        """Where all callers have one limit, any less shows how long one waited."""
        first_tries = learned(6.0)
        assert first_tries.waited_s(request(6.0), ROUTE) == 0.0
        assert first_tries.waited_s(request(5.75), ROUTE) == pytest.approx(0.25)

    def test_longer_than_the_route(self):
        """A caller's limit may be longer than the route's."""
        first_tries = learned(MOST_S)
        assert first_tries.waited_s(request(6.0), ROUTE) == pytest.approx(0.4)

    def test_limits_differ(self):
        """Among callers whose limits differ, a first try counts as such.

        On a day where they lay between 5.4 and 6.4 s, one in five requests of the
        first tier was queued as late, and nearly all of the lowest.
        """
        rng = random.Random(3)
        first_tries = learned(*(rng.uniform(0.85, 1.0) * MOST_S for _ in range(16)))
        waits = [
            first_tries.waited_s(request(rng.uniform(0.85, 1.0) * MOST_S), ROUTE)
            for _ in range(200)
        ]
        assert sum(waited > 0 for waited in waits) < 10

    def test_comes_back(self):
        """One that comes back is told by less than anyone's limit."""
        first_tries = learned(0.85 * MOST_S, MOST_S)
        waited_s = first_tries.waited_s(request(4.0), ROUTE)
        assert waited_s == pytest.approx(0.925 * MOST_S - 4.0)

    def test_nothing_learned(self):
        """Until something is learned, the route's timeout is the limit."""
        first_tries = FirstTries()
        assert first_tries.waited_s(request(5.0), ROUTE) == 0.0
        assert first_tries.waited_s(request(4.0), ROUTE) == pytest.approx(2.0)

    def test_kept_connection(self):
        """A caller that comes back does not do so on a connection that it kept."""
        assert learned(6.0).waited_s(request(3.0, is_kept=True), ROUTE) == 0.0

    def test_limits_change(self):
        """When callers change their limits, the new ones are learned."""
        first_tries = learned(6.0)
        for _ in range(100):
            first_tries.waited_s(request(3.0, is_kept=True), ROUTE)
        assert first_tries.waited_s(request(3.0), ROUTE) == 0.0

    def test_routes_apart(self):
        """Each route's callers have limits of their own."""
        other = make_route(name="other", timeout_s=2.0)
        assert learned(6.0).waited_s(request(2.0), other) == 0.0
