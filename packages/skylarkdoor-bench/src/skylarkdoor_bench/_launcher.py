"""Runs a complete deployment as processes on one machine."""

import asyncio
import tempfile
from collections.abc import Iterable
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import aiohttp

from skylarkdoor.settings import Limits
from skylarkdoor_bench._commands import (
    DaemonCommand,
    StandinCommand,
    engine_command,
    entry_command,
    platform_command,
    service_command,
    sidecar_command,
)
from skylarkdoor_bench._deployments import Deployment, EngineSpec, ServiceSpec
from skylarkdoor_bench._logs import Span, read_spans
from skylarkdoor_bench._platform import PlatformControl
from skylarkdoor_bench._processes import (
    POLL_INTERVAL_S,
    READY_TIMEOUT_S,
    ManagedProcess,
    ProcessFailedError,
)

PLATFORM = "platform"


class Cluster:
    """Runs a deployment's stand-ins and daemons while the context is entered.

    The keys of `processes` are ``platform``, the upstreams' names, ``sidecar-``
    with the upstream's name, and the entries' names.

    Args:
        deployment: The deployment to start.
        directory: Directory for settings files and logs; by default a temporary
            directory that is removed at the end.
    """

    def __init__(self, deployment: Deployment, *, directory: Path | None = None):
        self.deployment = deployment
        self.directory = directory or Path()
        self.processes: dict[str, ManagedProcess] = {}
        self.daemons: dict[str, DaemonCommand] = {}
        self.upstream_urls: dict[str, str] = {}
        self.platform: PlatformControl
        self.session: aiohttp.ClientSession
        self._keeps_directory = directory is not None
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    @property
    def entry_urls(self) -> list[str]:
        """Base URLs that callers use, one for each entry."""
        listens = [
            self.daemons[entry.name].settings.listen
            for entry in self.deployment.entries
        ]
        return [f"http://{listen.callers}" for listen in listens]

    async def wait_connected(self) -> None:
        """Wait until every entry has a stream to every sidecar.

        Raises:
            ProcessFailedError: An entry lacks a stream after 30 s.
        """
        names = [entry.name for entry in self.deployment.entries]
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for name in names:
                    while not await self._is_connected(name):
                        await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise ProcessFailedError(
                "entries did not connect to all sidecars"
            ) from None

    async def restart(self, name: str) -> None:
        """Start a process that has ended; a daemon is listed as live again.

        The platform stand-in loses its rows in a restart; pause it to keep them.
        """
        process = self.processes[name]
        await process.start()
        if name in self.daemons:
            daemon = self.daemons[name]
            await self.platform.register(daemon.role, daemon.settings)
        await process.wait_ready(self.session)

    async def restart_at_new_addresses(
        self, name: str, limits: Limits | None = None
    ) -> None:
        """Start a daemon that has ended at new addresses under the same name.

        Args:
            name: Name of the daemon.
            limits: New limits, or None to keep the current ones.
        """
        daemon = self.daemons[name].with_new_addresses(limits)
        self.daemons[name] = daemon
        daemon.write(self.directory)
        self.processes[name].ready_url = f"{daemon.internal_url}/readyz"
        await self.restart(name)

    async def start_new_incarnation(self, name: str) -> ManagedProcess:
        """Start a new incarnation of a daemon while the previous one still exists.

        The new incarnation listens at other addresses.

        Returns:
            The process of the previous incarnation. Its key in `processes` is now
            `NAME-former`.
        """
        previous = self.processes[name]
        self.processes[f"{name}-former"] = previous
        self.processes[name] = ManagedProcess(
            name, previous.arguments, ready_url="", log_path=previous.log_path
        )
        await self.restart_at_new_addresses(name)
        return previous

    async def status(self, name: str) -> dict[str, Any]:
        """Return the status document of a daemon."""
        return await self._get_json(f"{self.daemons[name].internal_url}/status")

    async def upstream_stats(self, name: str) -> dict[str, Any]:
        """Return the statistics of an engine or a service."""
        return await self._get_json(f"{self.upstream_urls[name]}/stats")

    async def upstream_fault(self, name: str, **settings: object) -> None:
        """Set a fault of an engine or a service."""
        url = f"{self.upstream_urls[name]}/faults"
        async with self.session.post(url, json=settings) as response:
            response.raise_for_status()

    def crashed(self) -> list[str]:
        """Return the names of processes that ended unexpectedly."""
        return [
            name
            for name, process in self.processes.items()
            if process.is_expected_to_run and not process.is_running
        ]

    def spans(self, trace_id: str | None = None) -> list[Span]:
        """Return the spans that the daemons logged, optionally of one trace only."""
        logs = [self.processes[name].log_path for name in self.daemons]
        return [span for log in logs for span in read_spans(log, trace_id=trace_id)]

    async def _start(self) -> None:
        if not self._keeps_directory:
            temporary = tempfile.TemporaryDirectory(prefix="skylarkdoor-")
            self.directory = Path(self._stack.enter_context(temporary))
        self.directory.mkdir(parents=True, exist_ok=True)
        session = aiohttp.ClientSession()
        self.session = await self._stack.enter_async_context(session)
        self._stack.push_async_callback(self._terminate_all)
        await self._start_standins()
        await self.platform.seed_settings(self.deployment)
        await self._start_daemons()

    async def _start_standins(self) -> None:
        platform = platform_command(self.deployment)
        self.platform = PlatformControl(self.session, platform.url)
        commands = [
            self._upstream_command(spec, seed)
            for seed, spec in enumerate(self.deployment.upstreams, start=1)
        ]
        self.upstream_urls = {command.name: command.url for command in commands}
        self._add(PLATFORM, platform.arguments, f"{platform.url}/stats")
        for command in commands:
            self._add(command.name, command.arguments, f"{command.url}/health")
        await self._start_processes([PLATFORM, *self.upstream_urls])

    def _upstream_command(
        self, spec: EngineSpec | ServiceSpec, seed: int
    ) -> StandinCommand:
        if isinstance(spec, EngineSpec):
            return engine_command(spec, self.deployment, seed=seed)
        return service_command(spec, self.deployment)

    async def _start_daemons(self) -> None:
        url = self.platform.url
        commands = [
            sidecar_command(spec, self.upstream_urls[spec.name], url)
            for spec in self.deployment.upstreams
        ]
        commands += [entry_command(spec, url) for spec in self.deployment.entries]
        for command in commands:
            self.daemons[command.name] = command
            arguments = command.write(self.directory)
            self._add(command.name, arguments, f"{command.internal_url}/readyz")
            await self.platform.register(command.role, command.settings)
        await self._start_processes(self.daemons)
        await self.wait_connected()

    async def _is_connected(self, entry: str) -> bool:
        status = await self.status(entry)
        connected = [item for item in status["sidecars"] if item["connected"]]
        return len(connected) == len(self.deployment.upstreams)

    def _add(self, name: str, arguments: tuple[str, ...], ready_url: str) -> None:
        log_path = self.directory / f"{name}.log"
        self.processes[name] = ManagedProcess(
            name, arguments, ready_url=ready_url, log_path=log_path
        )

    async def _start_processes(self, names: Iterable[str]) -> None:
        processes = [self.processes[name] for name in names]
        for process in processes:
            await process.start()
        async with asyncio.TaskGroup() as group:
            for process in processes:
                group.create_task(process.wait_ready(self.session))

    async def _terminate_all(self) -> None:
        daemons = [self.processes[name] for name in self.daemons]
        await _terminate(daemons)
        await _terminate(self.processes.values())

    async def _get_json(self, url: str) -> dict[str, Any]:
        async with self.session.get(url) as response:
            response.raise_for_status()
            answer: dict[str, Any] = await response.json()
            return answer


async def _terminate(processes: Iterable[ManagedProcess]) -> None:
    running = [process for process in processes if process.is_running]
    await asyncio.gather(*(process.terminate() for process in running))
