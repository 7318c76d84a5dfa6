"""Tests of the delays of retries."""

from skylarkdoor.backoff import Backoff


class TestBackoff:
    """`Backoff`."""

    def test_bounds(self):
        """The bound of a delay doubles up to the longest delay, also after a reset."""
        backoff = Backoff(initial_s=0.5, max_s=2.0)
        for _ in range(2):
            for bound_s in (0.5, 1.0, 2.0, 2.0):
                assert bound_s / 2 <= backoff.delay_s() <= bound_s
            backoff.reset()

    # Guards against a task that fails itself after 1,024 failed attempts in a row.
    def test_many_failures(self):
        """Delays go on after any number of failures."""
        backoff = Backoff()
        for _ in range(5000):
            assert backoff.delay_s() <= backoff.max_s
