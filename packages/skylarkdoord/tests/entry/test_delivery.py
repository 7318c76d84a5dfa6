"""Tests of `skylarkdoord.entry._delivery`."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from skylarkdoord.entry import _delivery
from skylarkdoord.entry._delivery import Delivery, Outcome
from skylarkdoord.entry._offers import Taken
from skylarkdoord.exceptions import SidecarSilentError


class Sidecar:
    """A sidecar that tells how far a request has come."""

    def __init__(self) -> None:
        self.lost = asyncio.Event()
        self.says: Outcome | None = None
        self.asked = asyncio.Event()

    async def ask(self) -> Outcome | None:
        """Tell it."""
        self.asked.set()
        return self.says

    def delivery(self) -> Delivery:
        """Return a delivery to the sidecar."""
        peer: Any = SimpleNamespace(lost=self.lost)
        return Delivery(Taken(peer, 1, 1), self.ask)


@pytest.fixture
def sidecar(monkeypatch: pytest.MonkeyPatch) -> Sidecar:
    """Return a sidecar; a delivery to it waits for no grace."""
    monkeypatch.setattr(_delivery, "GRACE_S", 0.0)
    return Sidecar()


class TestSilence:
    """No answer comes."""

    @pytest.mark.parametrize("phase", ["", "tombstoned", "absent", "finished"])
    async def test_does_not_run(self, sidecar: Sidecar, phase: str) -> None:
        """The wait ends if the sidecar is silent or does not run the request."""
        sidecar.says = Outcome(phase) if phase else None
        sidecar.lost.set()
        delivery = sidecar.delivery()
        with pytest.raises(SidecarSilentError):
            await delivery.post(asyncio.Event().wait())
        assert delivery.verdict == sidecar.says

    @pytest.mark.parametrize("phase", ["accepted", "dispatched"])
    async def test_runs(self, sidecar: Sidecar, phase: str) -> None:
        """The wait goes on while the sidecar says that the request does."""
        sidecar.says = Outcome(phase)
        sidecar.lost.set()
        answered = asyncio.Event()
        delivery = sidecar.delivery()
        posting = asyncio.create_task(delivery.post(answered.wait()))
        await sidecar.asked.wait()
        sidecar.asked.clear()
        await sidecar.asked.wait()
        assert not posting.done()
        answered.set()
        await posting
        delivery.watching.cancel()

    async def test_caller_gone(self, sidecar: Sidecar) -> None:
        """A delivery that is closed sends nothing more and asks nothing more."""
        delivery = sidecar.delivery()
        posting = asyncio.create_task(delivery.post(asyncio.Event().wait()))
        while delivery.posting is None:
            await asyncio.sleep(0)
        posting.cancel()
        delivery.close()
        await asyncio.wait({posting, delivery.posting, delivery.watching})
        assert delivery.posting.cancelled()
        assert delivery.watching.cancelled()
