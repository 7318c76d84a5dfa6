"""How many places are taken, by grants and by the engine's own reports."""

import pytest
from aiohttp import web

from skylarkdoor_bench.testing import free_port
from skylarkdoord.direct import EngineLoad
from skylarkdoord.direct._guard import Guard
from skylarkdoord.direct._guard_queue import PlaceQueue
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct._occupancy import (
    REPORTS,
    EngineReports,
    Occupancy,
    Report,
    Sample,
)
from skylarkdoord.direct.exceptions import RowError

from ._make import make_settings


@pytest.fixture
def occupancy():
    """Return an occupancy without reports."""
    return Occupancy()


def note(occupancy, *samples):
    """Take over reports, each as granted, settled and in the engine."""
    for sample in samples:
        occupancy.note(Sample(*sample))


class TestOccupancy:
    """`Occupancy`."""

    def test_agreement(self, occupancy):
        """Where grants and reports agree, nothing is corrected."""
        note(occupancy, *[(6, 6, 6)] * REPORTS)
        assert occupancy.correction() == 0

    def test_power_lost(self, occupancy):
        """Places of an entry that lost its power come free before it is missed."""
        note(occupancy, *[(8, 8, 5)] * REPORTS)
        assert occupancy.correction() == -3

    def test_one_report(self, occupancy):
        """A request that ends while a report is under way frees no place twice."""
        note(occupancy, (8, 8, 8), (8, 8, 8), (8, 8, 5))
        assert occupancy.correction() == 0

    def test_under_way(self, occupancy):
        """A request that is still on its way to the engine has its place."""
        note(occupancy, *[(8, 5, 5)] * REPORTS)
        assert occupancy.correction() == 0

    def test_strangers(self, occupancy):
        """Requests of entries that lost the guard take places too."""
        note(occupancy, *[(3, 3, 7)] * REPORTS)
        assert occupancy.correction() == 4

    def test_guard_restarted(self, occupancy):
        """A guard that has just started fills no engine that is full already."""
        note(occupancy, (0, 0, 8))
        assert occupancy.correction() == 8

    def test_no_report(self, occupancy):
        """Without reports, the grants count."""
        note(occupancy, *[(8, 8, 5)] * REPORTS)
        occupancy.forget()
        assert occupancy.correction() == 0


class TestCorrectedQueue:
    """`PlaceQueue.correct`."""

    @pytest.fixture
    def queue(self, granted):
        """Return a queue of two places, both granted, and one that waits."""
        queue = PlaceQueue(lambda stream, request: granted.append(request))
        queue.resize(2)
        for name in ("a", "b", "c"):
            queue.offer("s", name, Precedence(0))
        return queue

    @pytest.fixture
    def granted(self):
        """Return the list of what was granted."""
        return []

    def test_unused(self, queue, granted):
        """A place that nobody uses is given to who waits."""
        queue.correct(-1)
        assert granted == ["a", "b", "c"]

    def test_strangers(self, queue, granted):
        """A place that comes free while a stranger runs is not given away."""
        queue.correct(1)
        queue.withdraw("s", "a")
        assert granted == ["a", "b"]
        queue.correct(0)
        assert granted == ["a", "b", "c"]

    def test_settled(self):
        """Grants count as settled once they have some age."""
        now = 10.0
        queue = PlaceQueue(lambda *_: None, clock=lambda: now)
        queue.resize(2)
        queue.offer("s", "a", Precedence(0))
        now = 10.2
        queue.offer("s", "b", Precedence(0))
        now = 10.3
        assert queue.settled(0.3) == 1


class StubAdapter:
    """Decodes a report of two numbers."""

    load_path = "/load"

    def decode_load(self, data):
        """Return the report."""
        try:
            running, waiting = map(int, data.split())
        except ValueError:
            raise RowError("expected two numbers") from None
        return EngineLoad(running, waiting, 0, 0)


class TestEngineReports:
    """`EngineReports`."""

    async def reports(self, answers):
        """Return what is heard from an engine that gives these answers."""
        address = f"127.0.0.1:{free_port()}"
        host, _, port = address.rpartition(":")
        left = list(answers)

        async def answer(request):
            status, text = left.pop(0)
            return web.Response(status=status, text=text)

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        service = EngineReports(StubAdapter(), address, lambda _: None)
        said = [await service.ask() for _ in answers]
        await runner.cleanup()
        return said

    async def test_decoded(self):
        """A report is passed on as the adapter decodes it."""
        assert await self.reports([(200, "6 2")]) == [Report(EngineLoad(6, 2, 0, 0))]

    async def test_useless(self, caplog):
        """A report that can't be read is none; that is logged once, and its end."""
        caplog.set_level("INFO", "skylarkdoor")
        heard = await self.reports([(200, "?"), (500, ""), (200, "1 0")])
        assert heard == [Report(None), Report(None), Report(EngineLoad(1, 0, 0, 0))]
        assert [record.event_name for record in caplog.records] == [
            "engine_reports_lost",
            "engine_reports_regained",
        ]

    async def test_down(self):
        """Where nothing listens any more, the engine is down, and not just silent."""
        service = EngineReports(
            StubAdapter(), f"127.0.0.1:{free_port()}", lambda _: None
        )
        assert await service.ask() == Report(None)
        service.has_answered = True
        assert await service.ask() == Report(None, is_down=True)


class TestEngineDown:
    """`Guard.on_report`, for an engine that crashes and comes back."""

    async def test_no_places(self):
        """No place is given while it is down; what waits is granted afterwards."""
        guard = Guard(make_settings("guard-1"))
        granted = []
        guard.queue.grant = lambda stream, request: granted.append(request)
        guard.queue.resize(2)
        guard.on_report(Report(None, is_down=True))
        guard.queue.offer("s", "a", Precedence(0))
        assert granted == []
        assert guard.load().load.room == 0
        guard.on_report(Report(EngineLoad(0, 0, 0, 0)))
        assert granted == ["a"]

    async def test_silent(self):
        """An engine that does not tell its load keeps its places."""
        guard = Guard(make_settings("guard-1"))
        granted = []
        guard.queue.grant = lambda stream, request: granted.append(request)
        guard.queue.resize(1)
        guard.on_report(Report(None))
        guard.queue.offer("s", "a", Precedence(0))
        assert granted == ["a"]
