"""Tests of the retry budget over a whole fleet of entries."""

import pytest

from skylarkdoord._retry_limiter import RetryBudget

from ._retry_simulation import STEPS_PER_S, Absence, Load, RetryFleet

BUDGET = RetryBudget(ratio=0.2, slack=104.0, window_s=10.0)
SEEDS = range(1, 6)
TAKE_TURNS = tuple(
    Absence(12.0 + 2.0 * turn, 2.0, 0.5, is_restart=False) for turn in range(8)
)


def worst_window(**load):
    """Return the highest ratio of retries to allowed retries, of all seeds."""
    worst = 0.0
    for seed in SEEDS:
        fleet = RetryFleet(Load(**load), BUDGET, seed)
        fleet.run()
        worst = max(worst, fleet.worst_window())
    return worst


class TestMovingCallers:
    """Callers whose entry ends, or is not chosen any more, go to other entries."""

    def test_undisturbed(self):
        """Entries that all make as many retries as they may keep the budget."""
        assert worst_window() <= 1

    # Guards against requests that earn a retry at one entry after the other.
    @pytest.mark.parametrize(
        "absences",
        [
            (Absence(14.0, 2.0, 0.6),),
            (Absence(14.0, 60.0, 0.6),),
            (Absence(14.0, 2.0, 0.4), Absence(17.0, 2.0, 0.4)),
            tuple(Absence(14.0 + 4 * turn, 2.0, 0.4) for turn in range(3)),
        ],
        ids=["once", "for_good", "twice", "three_times"],
    )
    def test_entries_end(self, absences):
        """Entries that end take what they have spent with them."""
        assert worst_window(absences=absences) <= 1

    # Guards against the same without an entry that ends: a balancer's choice suffices.
    def test_entries_take_turns(self):
        """Entries that get requests by turns keep the budget."""
        assert worst_window(absences=TAKE_TURNS) <= 1

    def test_traffic_falls(self):
        """Requests that fall to a fifth as the retries begin."""
        assert worst_window(requests_per_s=lambda at: 300.0 if at < 12 else 60.0) <= 1


class TestWaitingRetries:
    """Retries that are approved long before they are sent."""

    # Guards against retries of two windows that arrive within one.
    def test_slots_come_late(self):
        """Retries that wait for 10 s are sent together with the next ones."""
        assert worst_window(slots_from=22.0) <= 1

    # Guards against retries that were approved for requests long past.
    def test_slots_come_late_after_traffic_fell(self):
        """Retries that wait while the traffic falls to a fifth."""
        fallen = worst_window(
            slots_from=32.0,
            requests_per_s=lambda at: 300.0 if at < 12 else 60.0,
        )
        assert fallen <= 1


class TestEffect:
    """Retries that the budget allows when they are needed."""

    def test_short_disruption(self):
        """Half of a window's budget and more is allowed within a second."""
        fleet = RetryFleet(Load(), BUDGET)
        fleet.run()
        first = round(12.0 * STEPS_PER_S)
        budget = BUDGET.ratio * 300.0 * BUDGET.window_s + BUDGET.slack
        assert sum(fleet.retries[first : first + STEPS_PER_S]) >= 0.45 * budget

    def test_long_disruption(self):
        """Nearly half of what the requests earn is allowed over 40 s as well."""
        fleet = RetryFleet(Load(), BUDGET)
        fleet.run()
        earned = BUDGET.ratio * 300.0 * 40.0
        assert sum(fleet.retries[-40 * STEPS_PER_S :]) >= 0.45 * earned
