"""Heartbeats between many entries and many guards.

The pattern is a fleet of some ten to some hundred entries, each with a stream to every
guard: what they cost without any request.
"""

import pytest

from skylarkdoord.direct._members import FULL_RATE_ENTRIES, UPDATE_INTERVAL_S
from skylarkdoord.direct._pace import (
    MAX_SILENCE_S,
    SILENCE_INTERVALS,
    Pace,
    entry_heartbeat_s,
    guard_heartbeat_s,
)

from ._make import Clock


class TestManyEntries:
    """Entries and guards of a growing fleet."""

    @pytest.mark.parametrize("entries", [1, 24])
    def test_few(self, entries):
        """In a small fleet a lost peer is noticed as early as before."""
        assert guard_heartbeat_s(entries) == 1.0
        assert entry_heartbeat_s(UPDATE_INTERVAL_S * entries / FULL_RATE_ENTRIES) == 1.0

    # Guards against heartbeats that take the processor time of requests, as they grow
    # with the product of entries and guards.
    @pytest.mark.parametrize("entries", [25, 48, 68])
    def test_guards(self, entries):
        """A guard sends and receives at most 24 heartbeats a second."""
        assert entries / guard_heartbeat_s(entries) <= 24 + 1e-9

    # Guards against a heartbeat between each two updates, which doubled the messages.
    @pytest.mark.parametrize("interval_s", [0.9, 1.7, 2.3])
    def test_entries(self, interval_s):
        """Entries send each other updates and no heartbeats between them."""
        assert entry_heartbeat_s(interval_s) > interval_s


class TestSilence:
    """The time after which a peer without a message is lost."""

    @pytest.fixture
    def clock(self):
        """Return a clock that the test sets."""
        return Clock()

    @pytest.mark.parametrize("seen", [1, 24, 68, 500])
    @pytest.mark.parametrize("seen_by_peer", [1, 24, 68, 500])
    def test_after_start(self, clock, seen, seen_by_peer):
        """A process that sees few entries yet does not lose a peer that sees many."""
        pace = Pace(lambda: guard_heartbeat_s(seen), clock=clock)
        peer = Pace(lambda: guard_heartbeat_s(seen_by_peer), clock=clock)
        assert peer.heartbeat_s() < pace.silence_timeout_s() == MAX_SILENCE_S

    def test_entries_lost(self, clock):
        """A process that loses sight of the others does not lose its guards for it."""
        seen = 68
        pace = Pace(lambda: guard_heartbeat_s(seen), clock=clock)
        pace.silence_timeout_s()
        clock.now += MAX_SILENCE_S + 0.1
        seen = 1
        assert pace.silence_timeout_s() > 2 * guard_heartbeat_s(68)

    def test_small_fleet(self, clock):
        """In a small fleet the timeout is short again soon after the start."""
        pace = Pace(lambda: guard_heartbeat_s(4), clock=clock)
        clock.now += MAX_SILENCE_S + 0.1
        assert pace.silence_timeout_s() == SILENCE_INTERVALS
