"""A process that starts knows nothing and says so."""

import asyncio

import aiohttp

from skylarkdoor_bench import api_key, small_demo
from skylarkdoor_bench.testing import StartCluster

ENTRY = "entry-2"
PLATFORM = ("table", "objects", "list")
POLL_S = 0.05


class TestStart:
    """An entry that starts while the platform is down."""

    async def test_no_settings_yet(self, start_cluster: StartCluster):
        """A known customer is told to come back, not that its key is unknown."""
        cluster = await start_cluster(small_demo())
        for service in PLATFORM:
            await cluster.platform.fault(service, "down")
        await cluster.processes[ENTRY].kill()
        await cluster.processes[ENTRY].start()
        sent = {"Authorization": f"Bearer {api_key('teika-garden')}"}
        url = f"{cluster.entry_urls[1]}/services/registry/packets/1"
        while True:
            try:
                async with cluster.session.get(url, headers=sent) as answer:
                    error = (await answer.json())["error"]
                    break
            except aiohttp.ClientConnectorError:
                await asyncio.sleep(POLL_S)
        assert (answer.status, error["code"]) == (503, "starting")
        assert error["not_run"] is True
        assert "Retry-After" in answer.headers
