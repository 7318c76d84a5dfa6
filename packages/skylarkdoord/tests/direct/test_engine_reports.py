"""Tests of `EngineReports` and of the guard's reaction to the reports."""

from aiohttp import web

from skylarkdoor_bench.testing import free_port
from skylarkdoord.direct import EngineLoad
from skylarkdoord.direct._engine_reports import EngineReports, Report
from skylarkdoord.direct._guard import Guard
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct.exceptions import RowError

from ._make import make_settings


class StubAdapter:
    """Decodes a report that consists of two numbers."""

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
        """Return the reports of an engine that gives these answers."""
        address = f"127.0.0.1:{free_port()}"
        host, _, port = address.rpartition(":")
        remaining = list(answers)

        async def answer(request):
            status, text = remaining.pop(0)
            return web.Response(status=status, text=text)

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        service = EngineReports(StubAdapter(), address, lambda _: None)
        reports = [await service.poll() for _ in answers]
        await runner.cleanup()
        return reports

    async def test_decoded(self):
        """A report is returned as the adapter decodes it."""
        assert await self.reports([(200, "6 2")]) == [Report(EngineLoad(6, 2, 0, 0))]

    async def test_malformed(self, caplog):
        """A malformed report counts as none; loss and recovery are logged once."""
        caplog.set_level("INFO", "skylarkdoor")
        reports = await self.reports([(200, "?"), (500, ""), (200, "1 0")])
        assert reports == [Report(None), Report(None), Report(EngineLoad(1, 0, 0, 0))]
        assert [record.event_name for record in caplog.records] == [
            "engine_reports_lost",
            "engine_reports_regained",
        ]

    async def test_down(self):
        """An engine that has answered before is down once it refuses connections."""
        service = EngineReports(
            StubAdapter(), f"127.0.0.1:{free_port()}", lambda _: None
        )
        assert await service.poll() == Report(None)
        service.has_answered = True
        assert await service.poll() == Report(None, is_down=True)


class TestEngineDown:
    """`Guard.on_report` for an engine that crashes and recovers."""

    async def test_no_slots(self):
        """No slot is granted while it is down; waiting requests get one afterwards."""
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

    async def test_no_report(self):
        """An engine that does not report its load keeps its slots."""
        guard = Guard(make_settings("guard-1"))
        granted = []
        guard.queue.grant = lambda stream, request: granted.append(request)
        guard.queue.resize(1)
        guard.on_report(Report(None))
        guard.queue.offer("s", "a", Precedence(0))
        assert granted == ["a"]
