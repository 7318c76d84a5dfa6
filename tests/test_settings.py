"""Settings across processes: in force everywhere, never back, through outages."""

import asyncio

from skylarkdoor_bench import Operator, small_demo

BOUND_S = 14.0
TEAM = {"customers": {}}


class TestPropagation:
    """An accepted change reaches every process."""

    async def test_everywhere_within_bound(self, start_cluster):
        """Every entry and sidecar has a change in force within the promised time."""
        cluster = await start_cluster(small_demo())
        operator = Operator(cluster, "entry-1")
        answer = await operator.put("/teams/new", TEAM)
        assert answer.status == 200, answer.body
        async with asyncio.timeout(BOUND_S):
            await operator.wait_in_force("/teams/new", 1)

    async def test_table_down_after_acceptance(self, start_cluster):
        """A change accepted just before an outage still reaches every process."""
        cluster = await start_cluster(small_demo())
        operator = Operator(cluster, "entry-1")
        answer = await operator.put("/teams/new", TEAM)
        await cluster.platform.fault("table", "down")
        assert answer.status == 200, answer.body
        async with asyncio.timeout(BOUND_S):
            await operator.wait_in_force("/teams/new", 1)

    async def test_all_requests_read_old_data(self, start_cluster):
        """A change spreads while each read of the table shows the time before it."""
        cluster = await start_cluster(small_demo())
        operator = Operator(cluster, "entry-1")
        await cluster.platform.fault("table", "stale")
        assert (await operator.put("/teams/new", TEAM)).status == 200
        async with asyncio.timeout(BOUND_S):
            await operator.wait_in_force("/teams/new", 1)


class TestRestart:
    """A process that starts while the platform fails."""

    async def test_from_peers_and_snapshot(self, start_cluster):
        """Restarted processes come up with the last revision while the table is down.

        They are ready only once they have it, at both roles.
        """
        cluster = await start_cluster(small_demo())
        operator = Operator(cluster, "entry-1")
        await operator.put("/teams/new", TEAM)
        await operator.wait_in_force("/teams/new", 1)
        await cluster.platform.fault("table", "down")
        for name in ("entry-2", "sidecar-engine-1"):
            await cluster.processes[name].kill()
            await cluster.restart(name)
            assert await operator.revision(name, "/teams/new") == 1

    async def test_from_snapshot_alone(self, start_cluster):
        """With every process gone and the table down, the snapshot is enough."""
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
        """A process that finds no settings anywhere is not ready until it does."""
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

    async def test_old_reads_never_revert(self, start_cluster):
        """A process that starts on old reads takes its peers' higher revision."""
        cluster = await start_cluster(small_demo())
        operator = Operator(cluster, "entry-1")
        await cluster.platform.fault("table", "stale")
        await operator.put("/teams/new", TEAM)
        await operator.wait_in_force("/teams/new", 1)
        await cluster.processes["entry-2"].kill()
        await cluster.restart("entry-2")
        assert await operator.revision("entry-2", "/teams/new") == 1
