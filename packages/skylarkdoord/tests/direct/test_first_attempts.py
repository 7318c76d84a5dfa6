"""Estimation of how long a caller has waited since its first attempt."""

import random

import pytest

from skylarkdoord.direct._first_attempts import MIN_SAMPLES, FirstAttempts

from ._make import make_request, make_route

# The callers' limits are at most 6.4 s; the route's timeout is 6 s.
MAX_LIMIT_S = 6.4
ROUTE = make_route(timeout_s=6.0)


def request(remaining_s, *, is_connection_reused=False):
    """Return a request whose caller has `remaining_s` seconds left."""
    made = make_request(is_connection_reused=is_connection_reused)
    return made._replace(deadline=made.received + remaining_s)


def estimator_for(*limits):
    """Return an estimator that has observed callers with these limits."""
    first_attempts = FirstAttempts()
    for _ in range(MIN_SAMPLES):
        for limit in limits:
            first_attempts.waited_s(request(limit, is_connection_reused=True), ROUTE)
    return first_attempts


class TestFirstAttempts:
    """`FirstAttempts`."""

    def test_one_limit(self):
        """If all limits are equal, the time below the limit is the time waited."""
        first_attempts = estimator_for(6.0)
        assert first_attempts.waited_s(request(6.0), ROUTE) == 0.0
        assert first_attempts.waited_s(request(5.75), ROUTE) == pytest.approx(0.25)

    def test_longer_than_route_timeout(self):
        """A caller's limit may be longer than the route's timeout."""
        first_attempts = estimator_for(MAX_LIMIT_S)
        assert first_attempts.waited_s(request(6.0), ROUTE) == pytest.approx(0.4)

    def test_limits_differ(self):
        """First attempts are recognized although callers' limits differ.

        With limits between 5.4 and 6.4 s, one in five requests of the first tier and
        nearly all of the lowest tier had been queued as late.
        """
        rng = random.Random(3)
        first_attempts = estimator_for(
            *(rng.uniform(0.85, 1.0) * MAX_LIMIT_S for _ in range(16))
        )
        waits = [
            first_attempts.waited_s(
                request(rng.uniform(0.85, 1.0) * MAX_LIMIT_S), ROUTE
            )
            for _ in range(200)
        ]
        assert sum(waited > 0 for waited in waits) < 10

    def test_retry(self):
        """A caller with less time left than any limit has made an earlier attempt."""
        first_attempts = estimator_for(0.85 * MAX_LIMIT_S, MAX_LIMIT_S)
        waited_s = first_attempts.waited_s(request(4.0), ROUTE)
        assert waited_s == pytest.approx(0.925 * MAX_LIMIT_S - 4.0)

    def test_no_samples(self):
        """Without samples, the route's timeout is the limit."""
        first_attempts = FirstAttempts()
        assert first_attempts.waited_s(request(5.0), ROUTE) == 0.0
        assert first_attempts.waited_s(request(4.0), ROUTE) == pytest.approx(2.0)

    def test_reused_connection(self):
        """A request on a reused connection is a first attempt."""
        assert (
            estimator_for(6.0).waited_s(request(3.0, is_connection_reused=True), ROUTE)
            == 0.0
        )

    def test_limits_change(self):
        """The estimate follows when callers change their limits."""
        first_attempts = estimator_for(6.0)
        for _ in range(100):
            first_attempts.waited_s(request(3.0, is_connection_reused=True), ROUTE)
        assert first_attempts.waited_s(request(3.0), ROUTE) == 0.0

    def test_routes_are_separate(self):
        """Limits are estimated for each route separately."""
        other = make_route(name="other", timeout_s=2.0)
        assert estimator_for(6.0).waited_s(request(2.0), other) == 0.0
