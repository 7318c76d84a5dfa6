"""Tests of the turns of connections that received bytes."""

from types import SimpleNamespace

import pytest

from skylarkdoord.ingress._read_share import ReadShare


def reader(name):
    """Return a connection that has received nothing yet."""
    return SimpleNamespace(name=name, virtual_s=0.0, is_waiting=False)


@pytest.fixture
def share():
    """Return a share of 10 ms a pass."""
    return ReadShare(limit_s=0.010)


def serve(share, took_s):
    """Run one pass in which each turn takes a time; return whose turns there were."""
    share.begin_pass()
    names = []
    while (turn := share.next_turn()) is not None:
        names.append(turn.name)
        share.on_handled(turn, took_s)
    return names


class TestReadShare:
    """`ReadShare`."""

    # Guards against ordinary requests that wait although there is time.
    def test_calm(self, share):
        """There is time until the limit of the pass, and again in the next pass."""
        one = reader("one")
        share.on_handled(one, 0.008)
        assert share.has_time()
        share.on_handled(one, 0.004)
        assert not share.has_time()
        share.begin_pass()
        assert share.has_time()
        assert share.spent_s == pytest.approx(0.012)

    # Guards against a pass that grows with the number of callers.
    def test_crowd(self, share):
        """A pass ends at its limit, and all connections have their turns."""
        for number in range(5):
            share.wait(reader(number))
        assert [serve(share, 0.006) for _ in range(3)] == [[0, 1], [2, 3], [4]]
        assert not share.is_behind

    # Guards against ordinary callers that wait behind a crowd.
    def test_new_connection(self, share):
        """A connection that has used nothing goes before those that have used much."""
        crowd = [reader(number) for number in range(3)]
        for one in crowd:
            share.wait(one)
        serve(share, 0.006)
        for one in crowd[:2]:
            share.wait(one)
        share.wait(reader("new"))
        assert serve(share, 0.004) == [2, "new", 0]

    # Guards against a crowd of new connections that shuts out those open for long.
    def test_long_open(self, share):
        """Time used while nothing waited does not count against a connection."""
        old = reader("old")
        for _ in range(100):
            share.begin_pass()
            share.on_handled(old, 0.001)
        share.wait(old)
        share.wait(reader("new"))
        assert serve(share, 0.001) == ["old", "new"]

    # Guards against a closed connection that is handled or keeps the loop busy.
    def test_closed(self, share):
        """A connection that is closed has no turn any more."""
        one = reader("one")
        share.wait(one)
        share.leave(one)
        assert serve(share, 0.001) == []
        assert not share.is_behind
