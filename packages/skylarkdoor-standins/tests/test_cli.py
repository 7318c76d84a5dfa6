"""Stand-ins as processes."""

import asyncio
import sys
from contextlib import asynccontextmanager

import aiohttp
import pytest

CRASH_STATUS = 70


@asynccontextmanager
async def standin(*arguments: str):
    """Run a stand-in and yield its process and URL."""
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
        """A stand-in says where it listens and ends cleanly on SIGTERM."""
        async with standin(*arguments) as (process, url):
            async with aiohttp.ClientSession() as session:
                async with session.get(f"{url}/stats") as response:
                    assert response.status == 200
            process.terminate()
            assert await process.wait() == 0

    async def test_engine_crash(self):
        """An engine that runs the poison text ends at once, with its counts told."""
        arguments = ("engine", "--model", "m", "--crash-on", "poison")
        async with standin(*arguments) as (process, url):
            async with aiohttp.ClientSession() as session:
                body = {"model": "m", "prompt": "some poison here"}
                with pytest.raises(aiohttp.ClientError):
                    await session.post(f"{url}/v1/completions", json=body)
            assert await process.wait() == CRASH_STATUS
            assert b'"wasted": 3' in await process.stderr.read()

    async def test_service_crash(self):
        """A service told to crash ends while it runs the next call."""
        async with standin("service") as (process, url):
            async with aiohttp.ClientSession() as session:
                await session.post(f"{url}/faults", json={"mode": "crash"})
                with pytest.raises(aiohttp.ClientError):
                    await session.get(f"{url}/a")
            assert await process.wait() == CRASH_STATUS
