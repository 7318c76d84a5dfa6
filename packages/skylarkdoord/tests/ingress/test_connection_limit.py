"""Tests of the limit on callers' connections."""

from types import SimpleNamespace

import pytest

from skylarkdoord.ingress import ConnectionState, Phase
from skylarkdoord.ingress._connection_limit import (
    RESERVED_DESCRIPTORS,
    ConnectionLimit,
    choose_closed,
)

NOW_S = 100.0
ONE = ConnectionLimit(max_connections=16)


def connection(phase, quiet_s, requests=0, *, is_busy=False):
    """Return a connection that has made no progress for a time in seconds."""
    since = NOW_S - quiet_s
    state = ConnectionState(since, phase, since, since, requests)
    return SimpleNamespace(state=state, is_busy=is_busy)


class TestDerived:
    """`ConnectionLimit.derived`."""

    # Guards against callers that leave no descriptor for what serves them.
    @pytest.mark.parametrize("descriptors", [1024, 1535, 4100, 20_000])
    def test_reserve(self, descriptors):
        """Each request finds an upstream's descriptor, beside the reserved ones."""
        limit = ConnectionLimit.derived(descriptors)
        assert 2 * limit.max_connections + RESERVED_DESCRIPTORS <= descriptors
        assert limit.max_connections > 0.3 * descriptors
        assert ConnectionLimit.derived(descriptors, 7).max_connections == 7


class TestChooseClosed:
    """`choose_closed`."""

    # Guards against ordinary callers that are closed for silent ones.
    def test_order(self):
        """The one that is worth least goes first, and one that is answered never."""
        connections = [
            connection(Phase.ANSWER, 90.0),
            connection(Phase.IDLE, 9.0, is_busy=True),
            connection(Phase.BODY, 0.5),
            connection(Phase.BODY, 50.0),
            connection(Phase.IDLE, 5.0, requests=3),
            connection(Phase.IDLE, 40.0, requests=1),
            connection(Phase.HEAD, 2.0),
            connection(Phase.IDLE, 0.2),
            connection(Phase.IDLE, 1.0),
        ]
        original = list(connections)
        newest = connection(Phase.IDLE, 0.0)
        order = []
        while True:
            (one,) = choose_closed(connections, ONE, newest=newest, now=NOW_S)
            order.append(one)
            if one is newest:
                break
            connections.remove(one)
        assert [original.index(one) for one in order[:-1]] == [8, 7, 6, 5, 4, 3]

    # Guards against callers that shut out all others with bodies that arrive slowly.
    def test_slow_body(self):
        """If none else can go, a body that has taken long does, not the newest one."""
        slow = connection(Phase.BODY, 6.0, is_busy=True)
        quick = connection(Phase.BODY, 4.0, is_busy=True)
        slow.state.received_at = quick.state.received_at = NOW_S
        newest = connection(Phase.IDLE, 0.0)
        chosen = choose_closed([quick, slow], ONE, newest=newest, now=NOW_S)
        assert chosen == [slow]
        assert choose_closed([quick], ONE, newest=newest, now=NOW_S) == [newest]

    # Guards against a look at all connections for each one of a crowd.
    def test_several(self):
        """Part of a large limit is closed at once."""
        crowd = [connection(Phase.IDLE, 1.0) for _ in range(640)]
        newest = connection(Phase.IDLE, 0.0)
        limit = ConnectionLimit(max_connections=640)
        assert choose_closed(crowd, limit, newest=newest, now=NOW_S) == crowd[:10]
