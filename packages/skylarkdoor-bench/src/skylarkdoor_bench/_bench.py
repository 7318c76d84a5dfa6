"""Runs the benchmark cases, prints a table and writes the results to a file."""

import asyncio
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from skylarkdoor.settings import PolicyName
from skylarkdoor_bench._report import format_faults, format_summary, write_results
from skylarkdoor_bench._run import DURATION_S, Case, RunResult, run_case

POLICIES: tuple[PolicyName, ...] = (
    "late-binding",
    "least-finish",
    "round-robin",
    "least-connections",
)
# Loads that are run for each policy by default, as shares of the capacity.
LOADS: dict[PolicyName, tuple[float, ...]] = {
    "late-binding": (0.7, 0.9, 1.3),
    "least-finish": (0.9, 1.3),
    "round-robin": (0.9,),
    "least-connections": (0.9,),
}
# Time per run beyond the arrivals: process start and stop, and the last answers.
RUN_OVERHEAD_S = 7.0

Echo = Callable[[str], None]


class BenchFailedError(Exception):
    """A daemon failed, or a guarantee was violated, in at least one run."""


def plan_cases(
    *,
    deployments: Sequence[str],
    policies: Sequence[PolicyName],
    loads: Sequence[float],
    seeds: int,
) -> list[Case]:
    """Return the cases to run.

    Args:
        deployments: Names of the deployments.
        policies: Policies to run; empty for all.
        loads: Loads to run; empty for the default loads of each policy.
        seeds: Number of seeds; they are counted from 1.
    """
    pairs = list(_policy_loads(policies, loads))
    return [
        Case(deployment, policy, load, seed)
        for deployment in deployments
        for policy, load in pairs
        for seed in range(1, seeds + 1)
    ]


def _policy_loads(
    policies: Sequence[PolicyName], loads: Sequence[float]
) -> Iterator[tuple[PolicyName, float]]:
    for policy in policies or POLICIES:
        for load in loads or LOADS[policy]:
            yield policy, load


async def run_bench(cases: Sequence[Case], *, out: Path, echo: Echo = print) -> None:
    """Run the cases one after another, print a table and write the results.

    Args:
        cases: The cases to run.
        out: File to which the results are written as JSON.
        echo: Prints a line.

    Raises:
        BenchFailedError: A daemon failed, or a guarantee was violated.
        ProcessFailedError: A process did not start.
    """
    planned_s = len(cases) * (DURATION_S + RUN_OVERHEAD_S)
    echo(f"{len(cases)} runs, about {planned_s / 60:.1f} minutes")
    started = time.monotonic()
    results: list[RunResult] = []
    for number, case in enumerate(cases, start=1):
        result = await run_case(case)
        results.append(result)
        echo(f"{number}/{len(cases)} {_format_run(result)}")
        for line in [*result.warnings, *result.faults]:
            echo(f"    {line}")
        await asyncio.to_thread(write_results, out, results)
    echo(f"\n{format_summary(results)}")
    echo(f"\ntook {time.monotonic() - started:.0f} s; results written to {out}")
    if any(result.faults for result in results):
        raise BenchFailedError(format_faults(results))


def _format_run(result: RunResult) -> str:
    case, score = result.case, result.score
    tiers = " ".join(f"{tier.goodput:.3f}" for tier in score.tiers)
    busiest = max(result.cpu_shares.values(), default=0.0)
    return (
        f"{case.deployment} {case.policy} load {case.load} seed {case.seed}: "
        f"{result.rate:.1f}/s, goodput {score.goodput:.3f}, by tier {tiers}, "
        f"busiest daemon {busiest:.0%} of a core"
    )
