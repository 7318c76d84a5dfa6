"""Tests of `skylarkdoord.entry._delivery`."""

import asyncio
import gc
from types import SimpleNamespace
from typing import Any

import pytest

from skylarkdoord.entry import _delivery
from skylarkdoord.entry._delivery import Delivery, Outcome
from skylarkdoord.entry._offers import AcceptedGrant
from skylarkdoord.exceptions import SidecarSilentError


class FakeSidecar:
    """A sidecar that replies to every query with the same outcome."""

    def __init__(self) -> None:
        self.disconnected = asyncio.Event()
        self.outcome: Outcome | None = None
        self.queried = asyncio.Event()

    async def query_outcome(self) -> Outcome | None:
        """Return the outcome."""
        self.queried.set()
        return self.outcome

    def delivery(self) -> Delivery:
        """Return a delivery to the sidecar."""
        peer: Any = SimpleNamespace(disconnected=self.disconnected)
        return Delivery(AcceptedGrant(peer, 1, 1), self.query_outcome)


@pytest.fixture
def sidecar(monkeypatch: pytest.MonkeyPatch) -> FakeSidecar:
    """Return a fake sidecar, and set the grace time of deliveries to 0."""
    monkeypatch.setattr(_delivery, "GRACE_S", 0.0)
    return FakeSidecar()


class TestUnansweredPost:
    """Tests of a post to which no answer arrives."""

    @pytest.mark.parametrize("phase", ["", "tombstoned", "absent", "finished"])
    async def test_request_does_not_run(self, sidecar: FakeSidecar, phase: str) -> None:
        """The post fails if the sidecar does not reply or does not run the request."""
        sidecar.outcome = Outcome(phase) if phase else None
        sidecar.disconnected.set()
        delivery = sidecar.delivery()
        with pytest.raises(SidecarSilentError):
            await delivery.post(asyncio.Event().wait())
        assert delivery.last_outcome == sidecar.outcome

    @pytest.mark.parametrize("phase", ["accepted", "dispatched"])
    async def test_request_runs(self, sidecar: FakeSidecar, phase: str) -> None:
        """The post continues while the sidecar reports that the request runs."""
        sidecar.outcome = Outcome(phase)
        sidecar.disconnected.set()
        answered = asyncio.Event()
        delivery = sidecar.delivery()
        post_task = asyncio.create_task(delivery.post(answered.wait()))
        await sidecar.queried.wait()
        sidecar.queried.clear()
        await sidecar.queried.wait()
        assert not post_task.done()
        answered.set()
        await post_task
        delivery.watch_task.cancel()

    # Guards against a request that hangs because nothing watches its sidecar any more.
    async def test_query_fails(self, sidecar: FakeSidecar) -> None:
        """The post fails if the sidecar's reply can't be read."""

        async def fail() -> Outcome:
            raise TypeError("no object")

        sidecar.disconnected.set()
        delivery = sidecar.delivery()
        delivery.query_outcome = fail
        async with asyncio.timeout(5):
            with pytest.raises(SidecarSilentError):
                await delivery.post(asyncio.Event().wait())
        with pytest.raises(TypeError):
            await delivery.watch_task

    # Guards against a lost connection that is reported as an error of the program.
    async def test_lost_as_caller_disconnects(self, sidecar: FakeSidecar) -> None:
        """A post that ends its cancellation with a lost connection is no error."""

        async def send() -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                raise ConnectionResetError from None

        reports: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reports.append(context))
        delivery = sidecar.delivery()
        post_task = asyncio.create_task(delivery.post(send()))
        await asyncio.sleep(0.01)
        post_task.cancel()
        delivery.close()
        await asyncio.wait({post_task, delivery.post_task, delivery.watch_task})
        del delivery, post_task
        gc.collect()
        assert reports == []

    async def test_caller_disconnected(self, sidecar: FakeSidecar) -> None:
        """A closed delivery cancels the post and stops querying the sidecar."""
        delivery = sidecar.delivery()
        post_task = asyncio.create_task(delivery.post(asyncio.Event().wait()))
        while delivery.post_task is None:
            await asyncio.sleep(0)
        post_task.cancel()
        delivery.close()
        await asyncio.wait({post_task, delivery.post_task, delivery.watch_task})
        assert delivery.post_task.cancelled()
        assert delivery.watch_task.cancelled()
