"""What the engines and services counted during a run."""

from collections import Counter
from typing import NamedTuple

from skylarkdoor_bench._deployments import EngineSpec
from skylarkdoor_bench._launcher import Cluster


class UpstreamCounts(NamedTuple):
    """Counts over all upstreams of a deployment.

    Attributes:
        prefill_computed: Prompt tokens computed.
        prefill_cached: Prompt tokens found in caches.
        prefill_wasted: Prompt tokens computed for requests that were cancelled.
        executions: Runs of each request id.
        keyed_runs: Runs of each idempotency key of a call that is not idempotent.
    """

    prefill_computed: int
    prefill_cached: int
    prefill_wasted: int
    executions: Counter[str]
    keyed_runs: Counter[str]

    @property
    def double_dispatches(self) -> int:
        """Requests and keys that ran more than once."""
        runs = [*self.executions.values(), *self.keyed_runs.values()]
        return sum(count > 1 for count in runs)


async def read_counts(cluster: Cluster) -> UpstreamCounts:
    """Ask every upstream for its counts."""
    prefill: Counter[str] = Counter()
    executions: Counter[str] = Counter()
    keyed_runs: Counter[str] = Counter()
    for spec in cluster.deployment.upstreams:
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
