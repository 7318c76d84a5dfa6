"""Requests that crash the upstreams that run them."""

import asyncio

import pytest

from skylarkdoord.direct import _crashes
from skylarkdoord.direct._crashes import MAX_CRASHES, Crashes, mark_of

from ._make import make_admitted, make_customer, make_record, make_request


@pytest.fixture(autouse=True)
def at_once(monkeypatch):
    """Let upstreams be probed at once."""
    monkeypatch.setattr(_crashes, "CONFIRM_AFTER_S", 0.0)


def make_crashes(*, down):
    """Return crashes whose probes say whether upstreams are down."""

    async def probe(record):
        return down

    return Crashes(probe=probe)


async def lose(crashes, instance, mark, *others):
    """Lose an upstream with these requests inside."""
    record = make_record(instance)
    for inside in (mark, *others):
        crashes.enter(record, inside)
    crashes.on_lost(record, mark)
    for inside in (mark, *others):
        crashes.leave(record, inside)
    await asyncio.gather(*crashes.checks)


class TestMark:
    """`mark_of`."""

    def test_repeat(self):
        """A repeat has the same mark, whatever its id."""
        again = make_request(request_id="r2")
        assert mark_of(make_admitted(again)) == mark_of(make_admitted())

    @pytest.mark.parametrize(
        "changes", [{"body": b"other"}, {"target": "/notes/2"}, {"method": "PUT"}]
    )
    def test_other(self, changes):
        """Another method, target or body is another request."""
        other = make_request(**changes)
        assert mark_of(make_admitted(other)) != mark_of(make_admitted())

    def test_customer(self):
        """Another customer's is another request."""
        other = make_admitted(customer=make_customer())
        assert mark_of(other) != mark_of(make_admitted())


class TestCrashes:
    """`Crashes`."""

    async def test_quarantine(self):
        """After three crashes a request is quarantined; its companions are not."""
        crashes = make_crashes(down=True)
        for number in range(MAX_CRASHES):
            assert not crashes.is_quarantined(7)
            await lose(crashes, f"i-{number}", 7, 100 + number)
        assert crashes.is_quarantined(7)
        assert not crashes.is_quarantined(100)

    async def test_answer_lost(self):
        """A lost answer of an upstream that still runs is no crash."""
        crashes = make_crashes(down=False)
        for number in range(MAX_CRASHES):
            await lose(crashes, f"i-{number}", 7)
        assert not crashes.is_quarantined(7)
        assert crashes.report() == []

    async def test_one_crash(self):
        """All that one crash broke off count it once."""
        crashes = make_crashes(down=True)
        record = make_record("i-1")
        for mark in (7, 8, 7):
            crashes.enter(record, mark)
            crashes.on_lost(record, mark)
        await asyncio.gather(*crashes.checks)
        told = {suspect.fingerprint: suspect.crashes for suspect in crashes.report()}
        assert told == {7: 1, 8: 1}

    async def test_other_entries(self):
        """What entries saw between them counts; hearing it twice does not."""
        seen = [make_crashes(down=True) for _ in range(MAX_CRASHES)]
        for number, crashes in enumerate(seen):
            await lose(crashes, f"i-{number}", 7)
        last = seen[-1]
        for _ in range(2):
            last.merge(seen[0].report())
            assert not last.is_quarantined(7)
        last.merge(seen[1].report())
        assert last.is_quarantined(7)

    async def test_probe(self):
        """An upstream that accepts connections is not down."""
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        record = make_record(address=f"127.0.0.1:{port}")
        assert not await _crashes.is_down(record)
        server.close()
        await server.wait_closed()
        assert await _crashes.is_down(record)
