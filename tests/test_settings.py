"""Propagation of settings to all processes, also during platform outages."""

import asyncio

from skylarkdoor_bench import Operator, small_demo

PROPAGATION_TIMEOUT_S = 14.0
TEAM = {"customers": {}}


class TestPropagation:
    """An accepted change takes effect at every process."""

    async def test_everywhere_in_time(self, start_cluster):
        """A change takes effect at every entry and sidecar within the time limit."""
        cluster = await start_cluster(small_demo())
        operator = Operator(cluster, "entry-1")
        response = await operator.put("/teams/new", TEAM)
        assert response.status == 200, response.body
        async with asyncio.timeout(PROPAGATION_TIMEOUT_S):
            await operator.wait_revision_applied("/teams/new", 1)

    async def test_table_down_after_acceptance(self, start_cluster):
        """A change accepted just before an outage still reaches every process."""
        cluster = await start_cluster(small_demo())
        operator = Operator(cluster, "entry-1")
        response = await operator.put("/teams/new", TEAM)
        await cluster.platform.fault("table", "down")
        assert response.status == 200, response.body
        async with asyncio.timeout(PROPAGATION_TIMEOUT_S):
            await operator.wait_revision_applied("/teams/new", 1)

    async def test_stale_reads(self, start_cluster):
        """A change spreads although every read of the table returns stale data."""
        cluster = await start_cluster(small_demo())
        operator = Operator(cluster, "entry-1")
        await cluster.platform.fault("table", "stale")
        assert (await operator.put("/teams/new", TEAM)).status == 200
        async with asyncio.timeout(PROPAGATION_TIMEOUT_S):
            await operator.wait_revision_applied("/teams/new", 1)


class TestRestart:
    """A process that starts while the platform is partly unavailable."""

    async def test_from_peers_and_snapshot(self, start_cluster):
        """Processes restarted while the table is down get the last revision.

        Neither an entry nor a sidecar is ready before it has the revision.
        """
        cluster = await start_cluster(small_demo())
        operator = Operator(cluster, "entry-1")
        await operator.put("/teams/new", TEAM)
        await operator.wait_revision_applied("/teams/new", 1)
        await cluster.platform.fault("table", "down")
        for name in ("entry-2", "sidecar-engine-1"):
            await cluster.processes[name].kill()
            await cluster.restart(name)
            assert await operator.revision(name, "/teams/new") == 1

    async def test_from_snapshot_alone(self, start_cluster):
        """With every process ended and the table down, the snapshot suffices."""
        cluster = await start_cluster(small_demo())
        operator = Operator(cluster, "entry-1")
        await operator.put("/teams/new", TEAM)
        await operator.wait_snapshot("/teams/new", 1)
        await cluster.platform.fault("table", "down")
        for name in cluster.daemons:
            await cluster.processes[name].kill()
        await cluster.restart("entry-2")
        assert await operator.revision("entry-2", "/teams/new") == 1

    async def test_not_ready_without_settings(self, start_cluster):
        """A process is not ready until it has obtained settings from some source."""
        cluster = await start_cluster(small_demo())
        for name in cluster.daemons:
            await cluster.processes[name].kill()
        await cluster.platform.fault("table", "down")
        await cluster.platform.fault("objects", "down")
        process = cluster.processes["entry-1"]
        await process.start()
        await process.wait_log("settings_poll_failed")
        status = await cluster.status("entry-1")
        assert (status["ready"], status["settings"]) == (False, {})
        await cluster.platform.fault("table", "ok")
        await process.wait_ready(cluster.session)

    async def test_stale_reads_never_revert(self, start_cluster):
        """A process that starts on stale reads takes its peers' higher revision."""
        cluster = await start_cluster(small_demo())
        operator = Operator(cluster, "entry-1")
        await cluster.platform.fault("table", "stale")
        await operator.put("/teams/new", TEAM)
        await operator.wait_revision_applied("/teams/new", 1)
        await cluster.processes["entry-2"].kill()
        await cluster.restart("entry-2")
        assert await operator.revision("entry-2", "/teams/new") == 1
