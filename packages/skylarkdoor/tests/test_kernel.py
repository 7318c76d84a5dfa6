"""Tests of the micro-kernel."""

import asyncio
import contextlib

import pytest

from skylarkdoor.exceptions import (
    InvariantBrokenError,
    ServiceAbsentError,
    ServiceCycleError,
    ServiceExistsError,
    StoppingError,
)
from skylarkdoor.kernel import Kernel


class Recorder:
    """A service that records when it starts and stops."""

    def __init__(self, name: str, calls: list[str], *, requires: tuple[str, ...] = ()):
        self.name = name
        self.calls = calls
        self.requires = requires

    async def start(self, kernel: Kernel):
        """Record the start."""
        self.calls.append(f"start {self.name}")

    async def stop(self):
        """Record the stop."""
        self.calls.append(f"stop {self.name}")


class TestOrder:
    """The order in which services start and stop."""

    async def test_required_first(self):
        """A service starts after the services it requires and stops before them."""
        calls: list[str] = []
        kernel = Kernel()
        kernel.register(Recorder("b", calls, requires=("a",)))
        kernel.register(Recorder("a", calls))
        kernel.request_stop()
        await kernel.run()
        assert calls == ["start a", "start b", "stop b", "stop a"]

    def test_cycle(self):
        """Services that require each other are rejected."""
        kernel = Kernel()
        kernel.register(Recorder("a", [], requires=("b",)))
        kernel.register(Recorder("b", [], requires=("a",)))
        with pytest.raises(ServiceCycleError):
            kernel.order()

    def test_absent(self):
        """The error names a required service that is not registered."""
        kernel = Kernel()
        kernel.register(Recorder("a", [], requires=("b",)))
        with pytest.raises(ServiceAbsentError, match="'b'"):
            kernel.order()


class TestRegistry:
    """Lookup of services by name."""

    def test_name_taken(self):
        """A second service with the same name is rejected."""
        kernel = Kernel()
        kernel.register(Recorder("a", []))
        with pytest.raises(ServiceExistsError, match="'a'"):
            kernel.register(Recorder("a", []))

    def test_wrong_kind(self):
        """A service of another class than expected counts as absent."""
        kernel = Kernel()
        kernel.register(Recorder("a", []))
        with pytest.raises(ServiceAbsentError, match="Kernel"):
            kernel.find("a", Kernel)


class TestFailure:
    """Effect of a failed task on the process."""

    async def test_task_failure_stops_all(self):
        """A failed task stops every service; its error is raised in a group."""
        calls: list[str] = []
        kernel = Kernel()
        kernel.register(Recorder("a", calls))

        async def fail():
            raise ValueError("broken")

        kernel.spawn(fail(), name="fails")
        with pytest.raises(ExceptionGroup) as caught:
            await kernel.run()
        assert calls == ["start a", "stop a"]
        assert caught.group_contains(ValueError, match="broken")

    # Guards against a message that can't be handled and ends the process.
    async def test_supervised_task_starts_anew(self):
        """A supervised task that fails runs again, and the process goes on."""
        kernel = Kernel()
        runs = asyncio.Queue()

        async def fail():
            runs.put_nowait("run")
            raise ValueError("broken")

        kernel.supervise(fail, name="fails")
        async with asyncio.timeout(5):
            assert [await runs.get() for _ in range(2)] == ["run", "run"]
        assert not kernel.stopping.is_set()
        await kernel.stop()

    # Guards against a task that fails for good, as it cancelled itself before.
    async def test_starts_anew_after_cancellation_within(self):
        """A supervised task that was cancelled from within runs again."""
        kernel = Kernel()
        runs = asyncio.Queue()

        async def fail():
            runs.put_nowait("run")
            asyncio.current_task().cancel()
            await asyncio.sleep(0)

        kernel.supervise(fail, name="fails")
        async with asyncio.timeout(5):
            assert [await runs.get() for _ in range(2)] == ["run", "run"]
        await kernel.stop()

    async def test_supervised_task_ends(self):
        """A supervised task that ends without a failure is not run again."""
        kernel = Kernel()
        runs = []

        async def end():
            runs.append("run")

        await kernel.supervise(end, name="ends")
        assert runs == ["run"]

    async def test_broken_invariant(self):
        """An invariant that is broken in a supervised task stops the process."""
        kernel = Kernel()

        async def fail():
            raise InvariantBrokenError("one_dispatch")

        kernel.supervise(fail, name="fails")
        with pytest.raises(ExceptionGroup) as caught:
            await kernel.run()
        assert caught.group_contains(InvariantBrokenError)

    # Guards against a process that never ends, as a task goes on after its end.
    async def test_fails_when_cancelled(self):
        """A supervised task that fails as it is cancelled is not run again."""
        kernel = Kernel()
        runs = asyncio.Queue()

        async def fail():
            runs.put_nowait("run")
            try:
                await asyncio.Event().wait()
            finally:
                raise ConnectionResetError

        task = kernel.supervise(fail, name="fails")
        await runs.get()
        task.cancel()
        async with asyncio.timeout(5):
            await asyncio.wait({task})
        assert runs.empty()
        await kernel.stop()

    # Guards against a process that never ends, as a task loses its cancellation.
    async def test_loses_cancellation(self):
        """A task that goes on after it was cancelled is cancelled again."""
        kernel = Kernel()
        waits = asyncio.Queue()

        async def go_on():
            for wait in range(2):
                waits.put_nowait(wait)
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.Event().wait()

        kernel.spawn(go_on(), name="goes on")
        await waits.get()
        async with asyncio.timeout(20):
            await kernel.stop()
        assert not kernel.tasks

    async def test_cancelled_task_is_no_failure(self):
        """A task that is cancelled does not stop the process."""
        kernel = Kernel()
        task = kernel.spawn(asyncio.sleep(60), name="sleeps")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert not kernel.stopping.is_set()


class TestLongFailure:
    """A task that fails with a long message."""

    # Guards against a line that is dropped because it is too long.
    async def test_restarted(self, caplog):
        """The line has the beginning of the message and the place."""
        kernel = Kernel()

        async def fail():
            raise ValueError("odd" * 10_000)

        task = kernel.supervise(fail, name="odd")
        with caplog.at_level("ERROR", "skylarkdoor"):
            while not caplog.records:
                await asyncio.sleep(0)
        task.cancel()
        (record,) = caplog.records
        assert record.error.startswith("ValueError('oddodd")
        assert len(record.error) < 1000
        assert record.frames[-1].endswith("fail")


class TestStoppedAtStart:
    """A process that is asked to stop before it has started."""

    # Guards against a request to stop that is reported as a failure.
    async def test_given_up(self):
        """A service that gives up its start ends the process in order."""

        class GivingUp(Recorder):
            async def start(self, kernel: Kernel):
                raise StoppingError

        calls: list[str] = []
        kernel = Kernel()
        kernel.register(Recorder("a", calls))
        kernel.register(GivingUp("b", calls, requires=("a",)))
        await kernel.run()
        assert calls == ["start a", "stop a"]


class TestStopTimeout:
    """The bound on the duration of a stop."""

    # Guards against a process that is killed as one of its services hangs.
    async def test_hanging_service(self, caplog):
        """A service that hangs is interrupted; those after it are stopped."""
        caplog.set_level("INFO", "skylarkdoor")
        kernel, calls = Kernel(), []
        kernel.stop_timeout_s = 0.05
        hanging = Recorder("hanging", calls, requires=("first",))
        hanging.stop = asyncio.Event().wait
        kernel.register(Recorder("first", calls))
        kernel.register(hanging)
        await kernel.start()
        async with asyncio.timeout(1.0):
            await kernel.stop()
        assert calls == ["start first", "start hanging", "stop first"]
        lines = [r for r in caplog.records if r.event_name == "service_interrupted"]
        assert [line.service for line in lines] == ["hanging"]
