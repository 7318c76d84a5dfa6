"""Requests to an entry that has started without settings."""

import asyncio

import aiohttp

from skylarkdoor_bench import api_key, small_demo
from skylarkdoor_bench.testing import StartCluster

ENTRY = "entry-2"
PLATFORM_SERVICES = ("table", "objects", "list")
POLL_S = 0.05


class TestStartup:
    """An entry that starts while the platform is down."""

    async def test_no_settings_yet(self, start_cluster: StartCluster):
        """A valid key gets `starting` with Retry-After, not an unknown-key error."""
        cluster = await start_cluster(small_demo())
        for service in PLATFORM_SERVICES:
            await cluster.platform.fault(service, "down")
        await cluster.processes[ENTRY].kill()
        await cluster.processes[ENTRY].start()
        headers = {"Authorization": f"Bearer {api_key('teika-garden')}"}
        url = f"{cluster.entry_urls[1]}/services/registry/packets/1"
        while True:
            try:
                async with cluster.session.get(url, headers=headers) as response:
                    error = (await response.json())["error"]
                    break
            except aiohttp.ClientConnectorError:
                await asyncio.sleep(POLL_S)
        assert (response.status, error["code"]) == (503, "starting")
        assert error["not_run"] is True
        assert "Retry-After" in response.headers
