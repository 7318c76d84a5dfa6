"""Injects faults at fixed times of a run."""

import asyncio
from typing import NamedTuple

from skylarkdoor_bench._commands import sidecar_name
from skylarkdoor_bench._deployments import Deployment, EngineSpec
from skylarkdoor_bench._launcher import Cluster
from skylarkdoor_bench._load import RetryStorm


class FaultPlan(NamedTuple):
    """Faults of a run, with times as shares of the period of arrivals.

    Attributes:
        straggler: Name of the engine that becomes slow.
        slow_factor: Factor by which its steps take longer.
        slow_from: Time when it becomes slow.
        slow_until: Time when it has its normal speed again.
        killed: Name of the engine whose sidecar is killed.
        killed_at: Time when the sidecar is killed.
        restarted_at: Time when the sidecar is restarted.
        storm_from: Time from which callers retry.
        storm_until: Time until which callers retry.
    """

    straggler: str
    killed: str
    slow_factor: float = 4.0
    slow_from: float = 0.15
    slow_until: float = 0.60
    killed_at: float = 0.50
    restarted_at: float = 0.65
    storm_from: float = 0.70
    storm_until: float = 0.90

    def retry_storm(self, duration_s: float) -> RetryStorm:
        """Return the period in which callers retry."""
        return RetryStorm(self.storm_from * duration_s, self.storm_until * duration_s)


def plan_faults(deployment: Deployment) -> FaultPlan:
    """Return a plan that slows down one engine and kills the sidecar of another.

    The slow engine is the second fastest; the other has the median speed.
    """
    engines = [spec for spec in deployment.upstreams if isinstance(spec, EngineSpec)]
    engines.sort(key=lambda engine: engine.prefill_tps)
    return FaultPlan(straggler=engines[-2].name, killed=engines[len(engines) // 2].name)


async def cause_faults(cluster: Cluster, plan: FaultPlan, duration_s: float) -> None:
    """Inject the faults of a plan at their times, counted from now."""
    async with asyncio.TaskGroup() as group:
        group.create_task(_slow_engine(cluster, plan, duration_s))
        group.create_task(_kill_sidecar(cluster, plan, duration_s))


async def _slow_engine(cluster: Cluster, plan: FaultPlan, duration_s: float) -> None:
    await asyncio.sleep(plan.slow_from * duration_s)
    await cluster.upstream_fault(plan.straggler, slow_factor=plan.slow_factor)
    await asyncio.sleep((plan.slow_until - plan.slow_from) * duration_s)
    await cluster.upstream_fault(plan.straggler, slow_factor=1.0)


async def _kill_sidecar(cluster: Cluster, plan: FaultPlan, duration_s: float) -> None:
    name = sidecar_name(plan.killed)
    await asyncio.sleep(plan.killed_at * duration_s)
    await cluster.processes[name].kill()
    await asyncio.sleep((plan.restarted_at - plan.killed_at) * duration_s)
    await cluster.restart(name)
