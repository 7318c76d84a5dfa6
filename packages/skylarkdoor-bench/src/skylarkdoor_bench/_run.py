"""Runs one case of the benchmark: a deployment, a policy, a load and a seed."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

import aiohttp

from skylarkdoor.settings import Fleet, PolicyName, Tier
from skylarkdoor_bench._arrivals import WORKLOADS, generate, sample_mix
from skylarkdoor_bench._capacity import capacity_per_s
from skylarkdoor_bench._deployments import (
    Deployment,
    EngineSpec,
    lime_trust,
    seed_exchange,
)
from skylarkdoor_bench._health import find_faults
from skylarkdoor_bench._launcher import Cluster
from skylarkdoor_bench._load import LoadGenerator, LoadReport
from skylarkdoor_bench._replies import Outcome
from skylarkdoor_bench._run_faults import cause_faults, plan_faults
from skylarkdoor_bench._scores import RunScore, score_run
from skylarkdoor_bench._trace import Arrival
from skylarkdoor_bench._upstream_counts import read_counts
from skylarkdoor_bench._usage import cpu_seconds

TIME_SCALE = 3.0
DURATION_S = 8.0
# Size of an engine's prefix cache: too small for all shared prefixes of the
# workload, and large enough for a hit rate of about half in a single engine.
CACHE_TOKENS = {"seed-exchange": 24 * 1024, "lime-trust": 48 * 1024}
# Above these limits the load generator itself may distort the measurement.
MAX_LOOP_LAG_S = 0.1
MAX_CPU_SHARE = 0.8

DEPLOYMENTS = {"seed-exchange": seed_exchange, "lime-trust": lime_trust}


class Case(NamedTuple):
    """Parameters of one run.

    Attributes:
        deployment: Name of the deployment.
        policy: Policy by which entries choose among sidecars.
        load: Load as a share of the engines' computed capacity.
        seed: Seed of the arrivals.
    """

    deployment: str
    policy: PolicyName
    load: float
    seed: int


class RunResult(NamedTuple):
    """Results of one run.

    Attributes:
        case: Parameters of the run.
        rate: Mean number of arrivals per second.
        score: Scores of the run.
        faults: A line for each fault of the daemons.
        warnings: A line for each reason to doubt the measurement.
        cpu_shares: Share of one core that each daemon used.
    """

    case: Case
    rate: float
    score: RunScore
    faults: list[str]
    warnings: list[str]
    cpu_shares: dict[str, float]


def scaled_deployment(name: str, policy: PolicyName) -> Deployment:
    """Return a deployment with scaled times and a policy for its model pools."""
    deployment = DEPLOYMENTS[name]()
    upstreams = tuple(
        spec._replace(cache_tokens=CACHE_TOKENS[name])
        if isinstance(spec, EngineSpec)
        else spec
        for spec in deployment.upstreams
    )
    return deployment._replace(
        time_scale=TIME_SCALE,
        upstreams=upstreams,
        fleet=_scaled_fleet(deployment.fleet, policy),
    )


def case_arrivals(case: Case, deployment: Deployment) -> tuple[float, list[Arrival]]:
    """Return the mean arrival rate per second and the arrivals of a case."""
    workload = WORKLOADS[case.deployment]
    rate = case.load * capacity_per_s(deployment, sample_mix(workload))
    arrivals = generate(
        workload,
        seed=case.seed,
        rate=rate,
        duration_s=DURATION_S,
        time_scale=deployment.time_scale,
    )
    return rate, arrivals


async def run_case(case: Case) -> RunResult:
    """Start the case's deployment, send its arrivals, inject faults and score it.

    Raises:
        ProcessFailedError: A process did not start.
    """
    deployment = scaled_deployment(case.deployment, case.policy)
    rate, arrivals = case_arrivals(case, deployment)
    plan = plan_faults(deployment)
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        Cluster(deployment) as cluster,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        load = LoadGenerator(
            session,
            deployment,
            cluster.entry_urls,
            arrivals,
            retry_storm=plan.retry_storm(DURATION_S),
        )
        before = _cpu_seconds(cluster)
        async with asyncio.TaskGroup() as group:
            group.create_task(cause_faults(cluster, plan, DURATION_S))
            running = group.create_task(load.run())
        report = running.result()
        after = _cpu_seconds(cluster)
        score = score_run(deployment, report, await read_counts(cluster))
        faults = await find_faults(cluster) + _caller_faults(report, score)
        shares = _cpu_shares(before, after, report.seconds)
        # No request is left to finish, and a graceful shutdown takes seconds.
        await asyncio.gather(
            *(cluster.processes[name].kill() for name in cluster.daemons)
        )
    return RunResult(case, rate, score, faults, _warnings(report), shares)


def _caller_faults(report: LoadReport, score: RunScore) -> list[str]:
    faults = []
    if score.inversions:
        faults.append(f"{score.inversions} refusals violated the tier order")
    if score.double_dispatches:
        faults.append(f"{score.double_dispatches} requests ran more than once")
    for item in report.results:
        reply = item.reply
        if reply.outcome in (Outcome.WRONG, Outcome.ERROR):
            description = (
                f"{reply.outcome}: {reply.status} {reply.code} {reply.body[:200]}"
            )
            faults.append(
                f"{item.arrival.kind} of {item.arrival.customer} {description}"
            )
    return faults


def _warnings(report: LoadReport) -> list[str]:
    warnings = []
    if report.max_loop_lag_s > MAX_LOOP_LAG_S:
        lag_ms = round(report.max_loop_lag_s * 1000)
        warnings.append(f"the load generator's event loop lagged by up to {lag_ms} ms")
    if report.cpu_share > MAX_CPU_SHARE:
        warnings.append(f"the load generator used {report.cpu_share:.0%} of a core")
    return warnings


def _scaled_fleet(fleet: Fleet, policy: PolicyName) -> Fleet:
    pools = {
        name: pool._replace(policy=policy) if pool.kind == "model" else pool
        for name, pool in fleet.pools.items()
    }
    tiers = {name: _scaled_tier(tier) for name, tier in fleet.tiers.items()}
    return fleet._replace(pools=pools, tiers=tiers)


def _scaled_tier(tier: Tier) -> Tier:
    return tier._replace(
        deadline_s=tier.deadline_s / TIME_SCALE,
        first_token_ms=tier.first_token_ms / TIME_SCALE,
        inter_token_ms=tier.inter_token_ms / TIME_SCALE,
    )


def _cpu_seconds(cluster: Cluster) -> dict[str, tuple[int, float]]:
    used = {}
    for name in cluster.daemons:
        process = cluster.processes[name]
        if process.is_running and process.pid is not None:
            used[name] = (process.pid, cpu_seconds(process.pid))
    return used


def _cpu_shares(
    before: Mapping[str, tuple[int, float]],
    after: Mapping[str, tuple[int, float]],
    seconds: float,
) -> dict[str, float]:
    return {
        name: (used_s - before[name][1]) / seconds
        for name, (pid, used_s) in after.items()
        if name in before and before[name][0] == pid
    }
