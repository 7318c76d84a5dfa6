"""What must not happen to the daemons of a run: crashes, tracebacks, breaches."""

import asyncio
from collections import Counter

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from skylarkdoor_bench._launcher import Cluster
from skylarkdoor_bench._logs import event_count

BROKEN_SAMPLE = "skylarkdoor_invariant_broken_total"
BROKEN_EVENT = "invariant_broken"
TRACEBACK = "Traceback (most recent call last)"


async def find_faults(cluster: Cluster) -> list[str]:
    """Return a line for each fault of the daemons, none if all is well."""
    faults = [f"{name} ended by itself" for name in cluster.crashed()]
    broken = await broken_invariants(cluster)
    faults += [f"invariant {name} broken {count}x" for name, count in broken.items()]
    for name in cluster.daemons:
        path = cluster.processes[name].log_path
        if event_count(path, BROKEN_EVENT):
            faults.append(f"{name} logged a broken invariant")
        tracebacks = path.read_text(errors="replace").count(TRACEBACK)
        if tracebacks:
            faults.append(f"{name} logged {tracebacks} tracebacks")
    return faults


async def broken_invariants(cluster: Cluster) -> Counter[str]:
    """Return how often each invariant was broken, from the running daemons."""
    running = [name for name in cluster.daemons if cluster.processes[name].is_running]
    texts = await asyncio.gather(*(_metrics(cluster, name) for name in running))
    broken: Counter[str] = Counter()
    for text in texts:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name == BROKEN_SAMPLE and sample.value:
                    broken[sample.labels["invariant"]] += int(sample.value)
    return broken


async def _metrics(cluster: Cluster, name: str) -> str:
    url = f"{cluster.daemons[name].internal_url}/metrics"
    try:
        async with cluster.session.get(url) as answer:
            return await answer.text()
    except aiohttp.ClientError:
        return ""
