"""Tests of the launcher's subprocesses."""

import signal

import aiohttp
import pytest

from skylarkdoor_bench import ManagedProcess, ProcessFailedError
from skylarkdoor_bench._ports import HOST, free_port


@pytest.fixture
async def session():
    """Return an HTTP session for readiness checks."""
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
async def process(tmp_path, session):
    """Return the process of a plain service that is ready."""
    port = free_port()
    process = ManagedProcess(
        "service",
        ("skylarkdoor_standins", "service", "--port", str(port)),
        ready_url=f"http://{HOST}:{port}/health",
        log_path=tmp_path / "service.log",
    )
    await process.start()
    await process.wait_ready(session)
    yield process
    if process.is_running:
        await process.kill()


class TestManagedProcess:
    """Tests of `ManagedProcess`."""

    async def test_start_twice(self, process):
        """Starting a running process raises an error."""
        with pytest.raises(ProcessFailedError):
            await process.start()

    async def test_terminate(self, process):
        """A terminated process ends with exit status 0."""
        assert await process.terminate() == 0
        assert not process.is_running

    async def test_terminate_paused(self, process):
        """A paused process can be terminated."""
        process.pause()
        assert await process.terminate() == 0

    async def test_kill_and_start_again(self, process, session):
        """A killed process can be started again at the same address."""
        first = process.pid
        await process.kill()
        assert process.returncode == -signal.SIGKILL
        await process.start()
        await process.wait_ready(session)
        assert process.pid != first

    async def test_never_ready(self, tmp_path, session):
        """The error for a process that ends before it is ready contains its log."""
        process = ManagedProcess(
            "broken",
            ("skylarkdoor_standins", "dance"),
            ready_url=f"http://{HOST}:{free_port()}/",
            log_path=tmp_path / "broken.log",
        )
        await process.start()
        with pytest.raises(ProcessFailedError, match="No such command 'dance'"):
            await process.wait_ready(session)
