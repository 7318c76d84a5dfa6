"""The randomised run: what it holds against the promises."""

import pytest

from skylarkdoor_bench._soak_calls import HandoverRecord, Told, judge


class TestJudge:
    """What is wrong with one hand-over."""

    @pytest.mark.parametrize(
        ("told", "runs"),
        [
            ([Told.ANSWERED], ["registry-1 1"]),
            ([Told.NOT_RUN], []),
            ([Told.UNKNOWN, Told.BROKEN], []),
            ([Told.UNKNOWN], ["registry-1 1"]),
            ([Told.NOT_RUN, Told.ANSWERED], ["registry-2 7"]),
        ],
    )
    def test_kept(self, told: list[Told], runs: list[str]):
        """A promise that was kept is not reported."""
        assert judge("key", HandoverRecord(told=told), runs) == []

    @pytest.mark.parametrize(
        ("told", "runs", "problem"),
        [
            ([Told.ANSWERED], ["a 1", "b 1"], "ran 2 times"),
            ([Told.ANSWERED], [], "never ran"),
            ([Told.NOT_RUN, Told.NOT_RUN], ["a 1"], "said not run"),
        ],
    )
    def test_broken(self, told: list[Told], runs: list[str], problem: str):
        """Each broken promise is told."""
        (found,) = judge("key", HandoverRecord(told=told), runs)
        assert problem in found

    def test_unlike_answers(self):
        """Two answers of one key that name unlike runs are told."""
        record = HandoverRecord(told=[Told.ANSWERED], executions={"x 1", "y 2"})
        (found,) = judge("key", record, ["a 1"])
        assert "unlike answers" in found
