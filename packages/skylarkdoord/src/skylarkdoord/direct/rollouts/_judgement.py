"""Compares the answers of two versions."""

from skylarkdoord.direct.rollouts._model import Outcome, Report, Verdict

# Answers of the new version from which on it may be called good.
MIN_GOOD_ANSWERS = 50
# The same once half of the order's duration is over and no more have come.
MIN_LATE_GOOD_ANSWERS = 5


def judge(report: Report, *, min_answers: int = MIN_GOOD_ANSWERS) -> Verdict:
    """Return whether the new version is good or bad, or that it can't be told yet.

    Args:
        report: Evidence on an order, summed over the entries.
        min_answers: Answers of the new version from which on it may be called good.
    """
    raise NotImplementedError
