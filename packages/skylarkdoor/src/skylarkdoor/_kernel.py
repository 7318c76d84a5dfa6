"""Registry of services, started in dependency order and stopped in reverse."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

from skylarkdoor import events
from skylarkdoor.backoff import Backoff
from skylarkdoor.exceptions import (
    InvariantBrokenError,
    ServiceAbsentError,
    ServiceCycleError,
    ServiceExistsError,
    StoppingError,
)
from skylarkdoor.tasks import end_tasks, failure
from skylarkdoor.unhandled import last_frames, shorten

T = TypeVar("T")

INITIAL_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0


class Service(Protocol):
    """A component of a process, which other services look up by its name.

    Attributes:
        name: Name of the service, unique in the process.
        requires: Names of the services that must start first.
    """

    name: str
    requires: tuple[str, ...]

    async def start(self, kernel: "Kernel") -> None:
        """Start the service; every required service has already started."""

    async def stop(self) -> None:
        """Finish the work in progress and release all resources."""


class Kernel:
    """Manages a process's services and the background tasks that they run.

    A supervised task that fails is started anew. Any other task that fails ends the
    process in an orderly way: `run` stops every service and raises all failures as one
    group.

    Attributes:
        stop_timeout_s: Longest duration of `stop`, in seconds; None if it has no limit.
    """

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.started: list[Service] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.failures: list[BaseException] = []
        self.stopping = asyncio.Event()
        self.stop_timeout_s: float | None = None
        self.log = events.get_logger("kernel")

    def register(self, service: Service) -> None:
        """Add a service.

        Raises:
            ServiceExistsError: Another service is registered under its name.
        """
        if service.name in self.services:
            raise ServiceExistsError(f"service {service.name!r} is already registered")
        self.services[service.name] = service

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service with the given name.

        Args:
            name: The service's name.
            kind: The class that the caller expects.

        Raises:
            ServiceAbsentError: No service has the name, or it is of another class.
        """
        service = self.services.get(name)
        if not isinstance(service, kind):
            raise ServiceAbsentError(f"no service {name!r} of type {kind.__name__}")
        return service

    def order(self) -> list[Service]:
        """Return the services in dependency order: each after those it requires.

        Raises:
            ServiceAbsentError: A required service is not registered.
            ServiceCycleError: Services require each other in a cycle.
        """
        ordered: list[Service] = []
        visiting: set[str] = set()

        def visit(name: str) -> None:
            if name not in self.services:
                raise ServiceAbsentError(f"required service {name!r} is not registered")
            service = self.services[name]
            if service in ordered:
                return
            if name in visiting:
                raise ServiceCycleError(
                    f"service {name!r} requires itself, directly or indirectly"
                )
            visiting.add(name)
            for required in service.requires:
                visit(required)
            ordered.append(service)

        for name in self.services:
            visit(name)
        return ordered

    def spawn(self, coroutine: Coroutine[Any, Any, T], *, name: str) -> asyncio.Task[T]:
        """Run a coroutine as a task whose failure stops the process."""
        task = asyncio.create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def supervise(
        self, run: Callable[[], Coroutine[Any, Any, None]], *, name: str
    ) -> asyncio.Task[None]:
        """Run a coroutine function as a task, and again after each failure.

        It does not run again once the returned task was cancelled. A broken invariant
        stops the process all the same.

        Args:
            run: The coroutine function. It must be able to start anew at any point.
            name: Name of the task.
        """
        return self.spawn(self._run_again(run, name), name=name)

    async def _run_again(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> None:
        backoff = Backoff(initial_s=INITIAL_RESTART_DELAY_S, max_s=MAX_RESTART_DELAY_S)
        while True:
            began = time.monotonic()
            error = await self._run_once(run, name)
            if error is None:
                return
            if isinstance(error, InvariantBrokenError):
                raise error
            self._log_failure(events.TASK_RESTARTED, name, error)
            if time.monotonic() - began > MAX_RESTART_DELAY_S:
                backoff.reset()
            await asyncio.sleep(backoff.delay_s())

    async def _run_once(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> BaseException | None:
        """Return the failure of one run; None if it ended without one.

        The run is a task of its own, so that a cancellation of the supervising task
        differs from a failure of the run and from a cancellation within it, which
        counts as a failure.
        """
        task = asyncio.create_task(run(), name=name)
        try:
            await asyncio.wait({task})
        except asyncio.CancelledError:
            await end_tasks([task])
            error = failure(task)
            if isinstance(error, Exception):
                self._log_failure(events.TASK_ENDED, name, error)
            raise
        return failure(task)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        assert error is not None
        self._log_failure(events.TASK_FAILED, task.get_name(), error)
        self.failures.append(error)
        self.stopping.set()

    def _log_failure(
        self, event: events.Event, task: str, error: BaseException
    ) -> None:
        frames = last_frames(error.__traceback__)
        self.log.event(event, task=task, error=shorten(repr(error)), frames=frames)

    def request_stop(self) -> None:
        """Ask `run` to stop the services; returns at once."""
        self.stopping.set()

    async def start(self) -> None:
        """Start every service in dependency order."""
        for service in self.order():
            await service.start(self)
            self.started.append(service)
            self.log.event(events.SERVICE_STARTED, service=service.name)

    async def stop(self) -> None:
        """Stop the started services in reverse order, then cancel all tasks.

        Services that are not stopped within `stop_timeout_s` are interrupted.

        Raises:
            ExceptionGroup: A service failed to stop, or a task failed earlier.
        """
        deadline = self._stop_deadline()
        while self.started:
            await self._stop_service(self.started.pop(), deadline)
        await end_tasks(self.tasks)
        failures = [error for error in self.failures if isinstance(error, Exception)]
        if failures:
            raise ExceptionGroup("services or tasks failed", failures)

    def _stop_deadline(self) -> float | None:
        if self.stop_timeout_s is None:
            return None
        return asyncio.get_running_loop().time() + self.stop_timeout_s

    async def _stop_service(self, service: Service, deadline: float | None) -> None:
        timeout = asyncio.timeout_at(deadline)
        try:
            async with timeout:
                await service.stop()
        except Exception as error:
            if timeout.expired():
                self.log.event(events.SERVICE_INTERRUPTED, service=service.name)
            else:
                self.failures.append(error)

    async def run(self) -> None:
        """Start the services, wait for `request_stop` or a failure, then stop.

        Raises:
            ExceptionGroup: A service or a task failed.
        """
        try:
            await self.start()
            await self.stopping.wait()
        except StoppingError:
            pass
        except Exception as error:
            self.failures.append(error)
        await self.stop()
