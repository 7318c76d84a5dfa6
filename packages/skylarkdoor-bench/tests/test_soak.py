"""Tests of the soak test's checks of guarantees."""

import pytest

from skylarkdoor_bench._soak_calls import (
    HandoverRecord,
    SendOutcome,
    find_handover_problems,
)


class TestFindHandoverProblems:
    """Tests of `find_handover_problems`."""

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
    def test_no_problem(self, outcomes: list[SendOutcome], runs: list[str]):
        """Consistent replies and executions are not reported."""
        assert (
            find_handover_problems("key", HandoverRecord(outcomes=outcomes), runs) == []
        )

    @pytest.mark.parametrize(
        ("outcomes", "runs", "problem"),
        [
            ([SendOutcome.ANSWERED], ["a 1", "b 1"], "executed 2 times"),
            ([SendOutcome.ANSWERED], [], "never executed"),
            ([SendOutcome.NOT_RUN, SendOutcome.NOT_RUN], ["a 1"], "reported not_run"),
        ],
    )
    def test_problem(self, outcomes: list[SendOutcome], runs: list[str], problem: str):
        """Each violated guarantee is reported."""
        (found,) = find_handover_problems(
            "key", HandoverRecord(outcomes=outcomes), runs
        )
        assert problem in found

    def test_different_answers(self):
        """Answers to one key that name different executions are reported."""
        record = HandoverRecord(
            outcomes=[SendOutcome.ANSWERED], executions={"x 1", "y 2"}
        )
        (found,) = find_handover_problems("key", record, ["a 1"])
        assert "different answers" in found
