"""Collects the statistics of a deployment's engines and services."""

from collections import Counter
from typing import NamedTuple

from skylarkdoor_bench._deployments import EngineSpec
from skylarkdoor_bench._launcher import Cluster


class UpstreamCounts(NamedTuple):
    """Statistics summed over all upstreams of a deployment.

    Attributes:
        prefill_computed: Prompt tokens computed.
        prefill_cached: Prompt tokens found in prefix caches.
        prefill_wasted: Prompt tokens computed for requests that were cancelled.
        executions: Number of executions of each request id.
        keyed_runs: Number of executions of each idempotency key, for calls of plain
            services other than GET.
    """

    prefill_computed: int
    prefill_cached: int
    prefill_wasted: int
    executions: Counter[str]
    keyed_runs: Counter[str]

    @property
    def double_dispatches(self) -> int:
        """Number of request ids and keys that were executed more than once."""
        runs = [*self.executions.values(), *self.keyed_runs.values()]
        return sum(count > 1 for count in runs)


async def read_counts(cluster: Cluster) -> UpstreamCounts:
    """Return the statistics of all running upstreams."""
    prefill: Counter[str] = Counter()
    executions: Counter[str] = Counter()
    keyed_runs: Counter[str] = Counter()
    for spec in cluster.deployment.upstreams:
        if not cluster.processes[spec.name].is_running:
            continue
        stats = await cluster.upstream_stats(spec.name)
        if isinstance(spec, EngineSpec):
            prefill.update(stats["prefill"])
            executions.update(stats["executions"])
            continue
        runs = stats["executions"]
        executions.update(run["request_id"] for run in runs)
        keyed_runs.update(
            run["idempotency_key"] for run in runs if run["method"] != "GET"
        )
    return UpstreamCounts(
        prefill["computed"],
        prefill["cached"],
        prefill["wasted"],
        executions,
        keyed_runs,
    )
