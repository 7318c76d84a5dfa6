"""Test support: complete deployments as processes, and free ports.

A ``conftest.py`` imports the fixtures by name.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from skylarkdoor_bench._deployments import Deployment
from skylarkdoor_bench._launcher import Cluster
from skylarkdoor_bench._ports import free_port

__all__ = ["StartCluster", "free_port", "start_cluster"]

StartCluster = Callable[[Deployment], Awaitable[Cluster]]


@pytest.fixture
async def start_cluster(tmp_path: Path) -> AsyncIterator[StartCluster]:
    """Return a function that starts a deployment, which is stopped after the test.

    The test fails if a process ended unexpectedly.
    """
    clusters: list[Cluster] = []
    async with AsyncExitStack() as stack:

        async def start(deployment: Deployment) -> Cluster:
            directory = tmp_path / f"cluster-{len(clusters) + 1}"
            cluster = Cluster(deployment, directory=directory)
            clusters.append(await stack.enter_async_context(cluster))
            return cluster

        yield start
        crashed = {
            name: cluster.processes[name].log_tail()
            for cluster in clusters
            for name in cluster.crashed()
        }
        assert not crashed, crashed
