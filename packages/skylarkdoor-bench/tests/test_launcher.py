"""Tests of running a complete deployment as processes."""

import os
import signal

import pytest

from skylarkdoor_bench import Cluster, small_demo


class TestCluster:
    """Tests of `Cluster`."""

    async def test_start_and_stop(self, tmp_path):
        """All processes run within the context, and none runs after it."""
        async with Cluster(small_demo(), directory=tmp_path) as cluster:
            assert len(cluster.processes) == 1 + 3 + 3 + 2
            assert all(item.is_running for item in cluster.processes.values())
            for name in cluster.daemons:
                assert (await cluster.status(name))["ready"]
        assert not any(item.is_running for item in cluster.processes.values())

    async def test_failed_start(self, tmp_path):
        """A deployment that fails to start leaves no process behind."""
        broken = small_demo()._replace(time_scale="odd")
        cluster = Cluster(broken, directory=tmp_path)
        with pytest.raises(ExceptionGroup):
            async with cluster:
                pass
        assert not any(item.is_running for item in cluster.processes.values())

    async def test_restart(self, start_cluster):
        """A killed upstream and its sidecar can be restarted at the same addresses."""
        cluster = await start_cluster(small_demo())
        for name in ("registry-1", "sidecar-registry-1"):
            await cluster.processes[name].kill()
        for name in ("registry-1", "sidecar-registry-1"):
            await cluster.restart(name)
        await cluster.wait_connected()
        assert (await cluster.upstream_stats("registry-1")) == {"executions": []}

    async def test_crashed(self, tmp_path):
        """`crashed` lists a process that ended unexpectedly, but not a killed one."""
        async with Cluster(small_demo(), directory=tmp_path) as cluster:
            await cluster.processes["engine-1"].kill()
            crashed = cluster.processes["engine-2"]
            os.kill(crashed.pid, signal.SIGKILL)
            await crashed.wait_exited()
            assert cluster.crashed() == ["engine-2"]
