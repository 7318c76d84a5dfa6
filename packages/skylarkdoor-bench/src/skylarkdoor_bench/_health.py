"""Finds faults of the daemons: crashes, tracebacks and violated invariants."""

import asyncio
import json
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from skylarkdoor_bench._launcher import Cluster

BROKEN_INVARIANT_METRIC = "skylarkdoor_invariant_broken_total"
BROKEN_INVARIANT_EVENT = "invariant_broken"
TRACEBACK = "Traceback (most recent call last)"


async def find_faults(cluster: Cluster) -> list[str]:
    """Return a line for each fault of the daemons; empty if there are none."""
    faults = [f"{name} ended unexpectedly" for name in cluster.crashed()]
    broken = await broken_invariants(cluster)
    faults += [
        f"invariant {name} violated {count} times" for name, count in broken.items()
    ]
    for name in cluster.daemons:
        counts = Counter(log_faults(cluster.processes[name].log_path))
        faults += [
            f"{name} logged {count} times: {what}" for what, count in counts.items()
        ]
    return faults


async def broken_invariants(cluster: Cluster) -> Counter[str]:
    """Return how often each invariant was violated in the running daemons."""
    running = [name for name in cluster.daemons if cluster.processes[name].is_running]
    texts = await asyncio.gather(*(_metrics(cluster, name) for name in running))
    broken: Counter[str] = Counter()
    for text in texts:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name == BROKEN_INVARIANT_METRIC and sample.value:
                    broken[sample.labels["invariant"]] += int(sample.value)
    return broken


async def _metrics(cluster: Cluster, name: str) -> str:
    url = f"{cluster.daemons[name].internal_url}/metrics"
    try:
        async with cluster.session.get(url) as answer:
            return await answer.text()
    except aiohttp.ClientError:
        return ""


def log_faults(path: Path) -> Iterator[str]:
    """Yield a line for each violated invariant and each traceback in a log."""
    is_traceback = False
    for line in path.read_text(errors="replace").splitlines():
        if line.startswith("{"):
            yield from _record_faults(line)
        elif TRACEBACK in line:
            is_traceback = True
        elif is_traceback and line and not line.startswith(" "):
            is_traceback = False
            yield f"traceback: {line}"


def _record_faults(line: str) -> Iterator[str]:
    try:
        record = json.loads(line)
    except ValueError:
        return
    if record.get("event_name") == BROKEN_INVARIANT_EVENT:
        yield f"violated invariant: {record.get('invariant')}"
    if TRACEBACK in str(record.get("exc_info", "")):
        last = str(record["exc_info"]).strip().splitlines()[-1]
        yield f"traceback: {last}"
