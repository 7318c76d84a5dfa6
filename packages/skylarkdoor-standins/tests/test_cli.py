"""Tests of the stand-ins as processes."""

import asyncio
import sys
from contextlib import asynccontextmanager

import aiohttp
import pytest

CRASH_EXIT_STATUS = 70


@asynccontextmanager
async def standin(*arguments: str):
    """Run a stand-in, and yield its process and base URL once it is ready."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "skylarkdoor_standins",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        word, url = (await process.stdout.readline()).decode().split()
        assert word == "ready"
        yield process, url
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


class TestMain:
    """`python -m skylarkdoor_standins`."""

    @pytest.mark.parametrize(
        "arguments",
        [("platform",), ("engine", "--model", "m"), ("service",)],
        ids=lambda arguments: arguments[0],
    )
    async def test_ready_and_stop(self, arguments):
        """A stand-in prints its URL when ready and exits with status 0 on SIGTERM."""
        async with standin(*arguments) as (process, url):
            async with aiohttp.ClientSession() as session:
                async with session.get(f"{url}/stats") as response:
                    assert response.status == 200
            process.terminate()
            assert await process.wait() == 0

    async def test_engine_crash(self):
        """An engine that runs the crash text prints its counters and exits at once."""
        arguments = ("engine", "--model", "m", "--crash-on", "poison")
        async with standin(*arguments) as (process, url):
            async with aiohttp.ClientSession() as session:
                body = {"model": "m", "prompt": "some poison here"}
                with pytest.raises(aiohttp.ClientError):
                    await session.post(f"{url}/v1/completions", json=body)
            assert await process.wait() == CRASH_EXIT_STATUS
            assert b'"wasted": 3' in await process.stderr.read()

    async def test_service_crash(self):
        """A service with the crash fault exits while it runs the next request."""
        async with standin("service") as (process, url):
            async with aiohttp.ClientSession() as session:
                await session.post(f"{url}/faults", json={"mode": "crash"})
                with pytest.raises(aiohttp.ClientError):
                    await session.get(f"{url}/a")
            assert await process.wait() == CRASH_EXIT_STATUS
