"""Tests of counting refusals that violate the tier order."""

from skylarkdoor_bench._inversions import count_inversions
from skylarkdoor_bench._load import Result
from skylarkdoor_bench._replies import Outcome, Reply
from skylarkdoor_bench._run import scaled_deployment
from skylarkdoor_bench._trace import Arrival

DEPLOYMENT = scaled_deployment("seed-exchange", "late-binding")
TOP, LOW = "packet-desk", "reply-desk"


def answered(customer: str, *, sent_s: float, first_token_s: float) -> Result:
    """Return the result of an answered stream."""
    arrival = Arrival(sent_s, customer, "chat", True, 10, max_tokens=5)
    reply = Reply(Outcome.ANSWERED, 200)
    ended_s = sent_s + first_token_s + 1
    return Result(arrival, reply, sent_s, ended_s, first_token_s, (), 1)


def refused(customer: str, *, at_s: float, code: str = "overloaded") -> Result:
    """Return the result of a request that was refused immediately."""
    arrival = Arrival(at_s, customer, "chat", False, 10, max_tokens=5)
    reply = Reply(Outcome.REFUSED, 503, code)
    return Result(arrival, reply, at_s, at_s, None, (), 1)


class TestCountInversions:
    """Tests of `count_inversions`."""

    def test_lower_waited(self) -> None:
        """A refusal counts if a waiting lower-tier request runs later."""
        results = [
            answered(LOW, sent_s=0.0, first_token_s=5.0),
            refused(TOP, at_s=2.0),
        ]
        assert count_inversions(DEPLOYMENT, results) == 1

    def test_lower_ran_already(self) -> None:
        """A refusal does not count if the lower-tier request may already run."""
        results = [
            answered(LOW, sent_s=0.0, first_token_s=2.2),
            refused(TOP, at_s=2.0),
        ]
        assert count_inversions(DEPLOYMENT, results) == 0

    def test_lower_came_later(self) -> None:
        """A refusal does not count if the lower-tier request was sent after it."""
        results = [
            refused(TOP, at_s=2.0),
            answered(LOW, sent_s=2.1, first_token_s=5.0),
        ]
        assert count_inversions(DEPLOYMENT, results) == 0

    def test_order_kept(self) -> None:
        """Refusals of the lowest tier and refusals for other reasons do not count."""
        results = [
            answered(TOP, sent_s=0.0, first_token_s=5.0),
            answered(LOW, sent_s=0.0, first_token_s=5.0),
            refused(LOW, at_s=2.0),
            refused(TOP, at_s=2.0, code="unavailable"),
        ]
        assert count_inversions(DEPLOYMENT, results) == 0
