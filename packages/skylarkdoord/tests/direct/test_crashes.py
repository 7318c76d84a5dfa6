"""Tests of the detection of requests that crash upstreams."""

import asyncio

import pytest

from skylarkdoord.direct import _crashes
from skylarkdoord.direct._crashes import MAX_CRASHES, Crashes, fingerprint_of

from ._make import make_admitted, make_customer, make_record, make_request


@pytest.fixture(autouse=True)
def no_probe_delay(monkeypatch):
    """Probe upstreams without delay."""
    monkeypatch.setattr(_crashes, "PROBE_DELAY_S", 0.0)


def make_crashes(*, down):
    """Return crashes whose probe reports every upstream as down or running."""

    async def probe(record):
        return down

    return Crashes(probe=probe)


async def lose_answer(crashes, instance, fingerprint, *others):
    """Lose a request's answer with these requests in flight, and await the check."""
    record = make_record(instance)
    for in_flight in (fingerprint, *others):
        crashes.add_in_flight(record, in_flight)
    crashes.on_answer_lost(record, fingerprint)
    for in_flight in (fingerprint, *others):
        crashes.remove_in_flight(record, in_flight)
    await asyncio.gather(*crashes.checks)


class TestFingerprint:
    """`fingerprint_of`."""

    def test_repeat(self):
        """A repeat has the same fingerprint, whatever its request id."""
        repeat = make_request(request_id="r2")
        assert fingerprint_of(make_admitted(repeat)) == fingerprint_of(make_admitted())

    @pytest.mark.parametrize(
        "changes", [{"body": b"other"}, {"target": "/notes/2"}, {"method": "PUT"}]
    )
    def test_other(self, changes):
        """Requests that differ in method, target or body have other fingerprints."""
        other = make_request(**changes)
        assert fingerprint_of(make_admitted(other)) != fingerprint_of(make_admitted())

    def test_customer(self):
        """Equal requests of different customers have different fingerprints."""
        other = make_admitted(customer=make_customer())
        assert fingerprint_of(other) != fingerprint_of(make_admitted())


class TestCrashes:
    """`Crashes`."""

    async def test_quarantine(self):
        """A request is quarantined after three crashes; others in flight are not."""
        crashes = make_crashes(down=True)
        for number in range(MAX_CRASHES):
            assert not crashes.is_quarantined(7)
            await lose_answer(crashes, f"i-{number}", 7, 100 + number)
        assert crashes.is_quarantined(7)
        assert not crashes.is_quarantined(100)

    async def test_answer_lost(self):
        """A lost answer of an upstream that still runs does not count as a crash."""
        crashes = make_crashes(down=False)
        for number in range(MAX_CRASHES):
            await lose_answer(crashes, f"i-{number}", 7)
        assert not crashes.is_quarantined(7)
        assert crashes.report() == []

    async def test_one_crash(self):
        """Each request in flight counts a crash once, even if it lost two answers."""
        crashes = make_crashes(down=True)
        record = make_record("i-1")
        for fingerprint in (7, 8, 7):
            crashes.add_in_flight(record, fingerprint)
            crashes.on_answer_lost(record, fingerprint)
        await asyncio.gather(*crashes.checks)
        reported = {
            suspect.fingerprint: suspect.crashes for suspect in crashes.report()
        }
        assert reported == {7: 1, 8: 1}

    # Guards against one crash that counts once for each entry that observes it.
    async def test_observed_twice(self, monkeypatch):
        """A crash that entries observe at different times counts once."""
        entries = [make_crashes(down=True) for _ in range(MAX_CRASHES)]
        for number, crashes in enumerate(entries):
            now = 1.8e9 + number
            monkeypatch.setattr("skylarkdoor._suspicion.time.time", lambda now=now: now)
            await lose_answer(crashes, "i-1", 7)
            entries[0].merge(crashes.report())
        assert len(entries[0].suspicions.get(7).crashes) == MAX_CRASHES
        assert not entries[0].is_quarantined(7)

    # Guards against a quarantine of requests that were at crashing upstreams by chance.
    async def test_answered(self):
        """A request that an upstream answers is no longer suspected, at any entry."""
        crashes, other = make_crashes(down=True), make_crashes(down=True)
        for number in range(MAX_CRASHES - 1):
            await lose_answer(crashes, f"i-{number}", 7)
        other.merge(crashes.report())
        crashes.on_answered(7)
        await lose_answer(crashes, "i-9", 7)
        assert not crashes.is_quarantined(7)
        other.merge(crashes.report())
        assert not other.is_quarantined(7)

    async def test_other_entries(self):
        """Crashes seen by different entries add up; repeated reports do not count."""
        entries = [make_crashes(down=True) for _ in range(MAX_CRASHES)]
        for number, crashes in enumerate(entries):
            await lose_answer(crashes, f"i-{number}", 7)
        last = entries[-1]
        for _ in range(2):
            last.merge(entries[0].report())
            assert not last.is_quarantined(7)
        last.merge(entries[1].report())
        assert last.is_quarantined(7)

    async def test_probe(self):
        """An upstream is down exactly if it does not accept connections."""
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        record = make_record(address=f"127.0.0.1:{port}")
        assert not await _crashes.is_down(record)
        server.close()
        await server.wait_closed()
        assert await _crashes.is_down(record)
