"""Manages the launcher's subprocesses: start, readiness, signals and termination."""

import asyncio
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import aiohttp

from skylarkdoor_bench._logs import event_count

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
_LOG_TAIL_LINES = 20


class ProcessFailedError(Exception):
    """A process ended unexpectedly or did not become ready."""


class ManagedProcess:
    """A Python module that runs as a subprocess and logs to a file.

    Args:
        name: Name of the process.
        arguments: Name of the module, and its arguments.
        ready_url: URL that answers with status 200 when the process is ready.
        log_path: File to which standard output and standard error are appended.
    """

    def __init__(
        self, name: str, arguments: Sequence[str], *, ready_url: str, log_path: Path
    ):
        self.name = name
        self.arguments = tuple(arguments)
        self.ready_url = ready_url
        self.log_path = log_path
        self.is_expected_to_run = False
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int | None:
        """Process id, or None before the first start."""
        return self._process.pid if self._process else None

    @property
    def returncode(self) -> int | None:
        """Exit status, or None while the process runs and before the first start."""
        return self._process.returncode if self._process else None

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process without waiting until it is ready.

        Raises:
            ProcessFailedError: The process is already running.
        """
        if self.is_running:
            raise ProcessFailedError(f"{self.name} is already running")
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self.arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.is_expected_to_run = True

    async def wait_ready(
        self, session: aiohttp.ClientSession, *, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until the process reports that it is ready.

        Raises:
            ProcessFailedError: The process ended, or was not ready in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._is_ready(session):
                    self._check_running()
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise ProcessFailedError(
                f"{self.name} was not ready after {timeout_s} s\n{self.log_tail()}"
            ) from None

    async def wait_exited(self) -> int:
        """Wait until the process has exited and return its exit status."""
        assert self._process is not None
        return await self._process.wait()

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.is_expected_to_run = False
        self._signal(signal.SIGKILL)
        await self.wait_exited()

    async def terminate(self, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Request that the process ends, and kill it after the timeout.

        Returns:
            The exit status.
        """
        self.is_expected_to_run = False
        self._signal(signal.SIGTERM)
        self._signal(signal.SIGCONT)
        try:
            async with asyncio.timeout(timeout_s):
                return await self.wait_exited()
        except TimeoutError:
            await self.kill()
            return await self.wait_exited()

    def send_sigterm(self) -> None:
        """Send SIGTERM without waiting for the process to end."""
        self.is_expected_to_run = False
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process until `resume` is called."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._signal(signal.SIGCONT)

    async def wait_log(self, event_name: str, *, count: int = 1) -> None:
        """Wait until the log contains an event at least `count` times.

        Raises:
            TimeoutError: The log does not contain the events after 30 s.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while event_count(self.log_path, event_name) < count:
                await asyncio.sleep(POLL_INTERVAL_S)

    def log_tail(self) -> str:
        """Return the last lines of the log."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-_LOG_TAIL_LINES:])

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)

    def _check_running(self) -> None:
        if not self.is_running:
            raise ProcessFailedError(
                f"{self.name} ended with status {self.returncode}\n{self.log_tail()}"
            )

    async def _is_ready(self, session: aiohttp.ClientSession) -> bool:
        try:
            async with session.get(self.ready_url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False
