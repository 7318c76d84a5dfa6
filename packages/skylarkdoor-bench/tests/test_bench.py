"""Tests of the benchmark's cases and their arrivals."""

from skylarkdoor_bench._bench import LOADS, POLICIES, plan_cases
from skylarkdoor_bench._run import Case, case_arrivals, scaled_deployment


class TestPlanCases:
    """Tests of `plan_cases`."""

    def test_asked(self) -> None:
        """Each requested deployment, policy, load and seed is run once."""
        cases = plan_cases(
            deployments=["lime-trust"],
            policies=["late-binding", "round-robin"],
            loads=[0.5],
            seeds=2,
        )
        assert cases == [
            Case("lime-trust", "late-binding", 0.5, 1),
            Case("lime-trust", "late-binding", 0.5, 2),
            Case("lime-trust", "round-robin", 0.5, 1),
            Case("lime-trust", "round-robin", 0.5, 2),
        ]

    def test_default(self) -> None:
        """By default every policy is run at a load near the capacity."""
        cases = plan_cases(
            deployments=["seed-exchange"], policies=(), loads=(), seeds=1
        )
        assert len(cases) == sum(len(loads) for loads in LOADS.values())
        assert {case.policy for case in cases if case.load == 0.9} == set(POLICIES)


class TestCaseArrivals:
    """Tests of `case_arrivals`."""

    def test_policy_apart(self) -> None:
        """The arrivals do not depend on the policy."""
        found = [
            case_arrivals(
                Case("seed-exchange", policy, 0.9, 1),
                scaled_deployment("seed-exchange", policy),
            )
            for policy in POLICIES
        ]
        assert all(arrivals == found[0] for arrivals in found)

    def test_load(self) -> None:
        """The arrival rate is proportional to the load."""
        deployment = scaled_deployment("lime-trust", "late-binding")
        rates = [
            case_arrivals(Case("lime-trust", "late-binding", load, 1), deployment)[0]
            for load in (0.5, 1.0)
        ]
        assert rates[1] == 2 * rates[0]
