"""The randomised run: what it holds against the promises."""

import pytest

from skylarkdoor_bench._soak_calls import (
    HandoverRecord,
    SendOutcome,
    find_handover_problems,
)


class TestFindHandoverProblems:
    """What is wrong with one hand-over."""

    @pytest.mark.parametrize(
        ("outcomes", "runs"),
        [
            ([SendOutcome.ANSWERED], ["registry-1 1"]),
            ([SendOutcome.NOT_RUN], []),
            ([SendOutcome.UNKNOWN, SendOutcome.BROKEN], []),
            ([SendOutcome.UNKNOWN], ["registry-1 1"]),
            ([SendOutcome.NOT_RUN, SendOutcome.ANSWERED], ["registry-2 7"]),
        ],
    )
    def test_kept(self, outcomes: list[SendOutcome], runs: list[str]):
        """A promise that was kept is not reported."""
        assert (
            find_handover_problems("key", HandoverRecord(outcomes=outcomes), runs) == []
        )

    @pytest.mark.parametrize(
        ("outcomes", "runs", "problem"),
        [
            ([SendOutcome.ANSWERED], ["a 1", "b 1"], "ran 2 times"),
            ([SendOutcome.ANSWERED], [], "never ran"),
            ([SendOutcome.NOT_RUN, SendOutcome.NOT_RUN], ["a 1"], "said not run"),
        ],
    )
    def test_broken(self, outcomes: list[SendOutcome], runs: list[str], problem: str):
        """Each broken promise is told."""
        (found,) = find_handover_problems(
            "key", HandoverRecord(outcomes=outcomes), runs
        )
        assert problem in found

    def test_unlike_answers(self):
        """Two answers of one key that name unlike runs are told."""
        record = HandoverRecord(
            outcomes=[SendOutcome.ANSWERED], executions={"x 1", "y 2"}
        )
        (found,) = find_handover_problems("key", record, ["a 1"])
        assert "unlike answers" in found
