"""Tests of `skylarkdoord.sidecar._shared_lock`."""

import asyncio

from skylarkdoord.sidecar._shared_lock import Gate


class Visit:
    """A call that holds the gate until it is told to go."""

    def __init__(self, gate: Gate, *, alone: bool = False) -> None:
        self.is_inside = False
        self.leave = asyncio.Event()
        holding = gate.alone() if alone else gate.together()
        self.task = asyncio.create_task(self.hold(holding))

    async def hold(self, holding) -> None:
        """Hold the gate."""
        async with holding:
            self.is_inside = True
            await self.leave.wait()
        self.is_inside = False


async def settle() -> None:
    """Let every task run as far as it can."""
    for _ in range(10):
        await asyncio.sleep(0)


class TestGate:
    """Calls that enter together or alone."""

    async def test_together(self) -> None:
        """Ordinary calls hold the gate at the same time."""
        gate = Gate()
        visits = [Visit(gate), Visit(gate)]
        await settle()
        assert all(visit.is_inside for visit in visits)

    async def test_alone(self) -> None:
        """A lone call waits for those inside and keeps others out."""
        gate = Gate()
        first, lone = Visit(gate), Visit(gate, alone=True)
        await settle()
        later = Visit(gate)
        await settle()
        assert (first.is_inside, lone.is_inside, later.is_inside) == (
            True,
            False,
            False,
        )
        first.leave.set()
        await settle()
        assert (lone.is_inside, later.is_inside) == (True, False)
        lone.leave.set()
        await settle()
        assert later.is_inside

    async def test_two_alone(self) -> None:
        """Two lone calls hold the gate one after the other."""
        gate = Gate()
        visits = [Visit(gate, alone=True), Visit(gate, alone=True)]
        await settle()
        assert [visit.is_inside for visit in visits] == [True, False]
        visits[0].leave.set()
        await settle()
        assert [visit.is_inside for visit in visits] == [False, True]

    async def test_gives_up(self) -> None:
        """A lone call that gives up waiting lets others in again."""
        gate = Gate()
        first, lone = Visit(gate), Visit(gate, alone=True)
        await settle()
        later = Visit(gate)
        lone.task.cancel()
        await settle()
        assert first.is_inside
        assert later.is_inside
