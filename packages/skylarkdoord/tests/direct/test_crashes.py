"""Tests of the detection of requests that crash upstreams."""

import asyncio
import time

import pytest

from skylarkdoor.wire import pb
from skylarkdoord.direct._probe import is_down
from skylarkdoord.direct.evidence import _crashes
from skylarkdoord.direct.evidence._answered import ANSWERED_RETENTION_S, MAX_ANSWERED
from skylarkdoord.direct.evidence._crash_state import (
    MAX_CRASHES,
    SETTLE_S,
)
from skylarkdoord.direct.evidence._crashes import (
    MAX_LOGGED_PARTS,
    MAX_UNANSWERED,
    SAME_CRASH_S,
    UNANSWERED_RETENTION_S,
    Crashes,
)
from skylarkdoord.direct.evidence._crashing_requests import CLEARING_ANSWERS
from skylarkdoord.direct.evidence._suspect_keys import SharedPart

from ._make import Clock, make_record


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


def answer(crashes, fingerprint, times=CLEARING_ANSWERS):
    """Answer a request that is sent now, several times."""
    for _ in range(times):
        crashes.on_answered(fingerprint, crashes.clock())


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
        assert crashes.report().suspects == []

    async def test_one_crash(self):
        """Each request in flight counts a crash once, even if it lost two answers."""
        crashes = make_crashes(down=True)
        record = make_record("i-1")
        for fingerprint in (7, 8, 7):
            crashes.add_in_flight(record, fingerprint)
            crashes.on_answer_lost(record, fingerprint)
        await asyncio.gather(*crashes.checks)
        reported = {
            suspect.fingerprint: suspect.crashes
            for suspect in crashes.report().suspects
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
            entries[0].merge(crashes.report().suspects)
        assert len(entries[0].suspicions.get(7).crashes) == MAX_CRASHES
        assert not entries[0].is_quarantined(7)

    # Guards against a quarantine of requests that were at crashing upstreams by chance.
    async def test_answered(self):
        """Answers since the latest crash clear a request, at any entry."""
        crashes, other = make_crashes(down=True), make_crashes(down=True)
        for number in range(MAX_CRASHES - 1):
            await lose_answer(crashes, f"i-{number}", 7)
        other.merge(crashes.report().suspects)
        answer(crashes, 7)
        await lose_answer(crashes, "i-9", 7)
        assert not crashes.is_quarantined(7)
        other.merge(crashes.report().suspects)
        assert not other.is_quarantined(7)

    # Guards against answers by the upstreams of a former release, which clear a request
    # that crashes those of the new one again and again.
    async def test_too_few_answers(self):
        """One answer less than it takes clears a request of nothing."""
        crashes = make_crashes(down=True)
        for number in range(MAX_CRASHES):
            answer(crashes, 7, times=CLEARING_ANSWERS - 1)
            await lose_answer(crashes, f"i-{number}", 7)
        assert crashes.is_quarantined(7)

    # Guards against an answer that was under way when the request began to crash
    # upstreams.
    async def test_sent_before(self):
        """An answer to an attempt that was sent before a crash does not clear it."""
        crashes = make_crashes(down=True)
        sent_at = crashes.clock()
        await lose_answer(crashes, "i-1", 7)
        for _ in range(CLEARING_ANSWERS):
            crashes.on_answered(7, sent_at)
        assert crashes.count(7) == 1

    def test_answered_bounded(self):
        """Only the latest answers are remembered."""
        crashes = make_crashes(down=True)
        for fingerprint in range(MAX_ANSWERED + 1):
            answer(crashes, fingerprint, times=1)
        assert 0 not in crashes.requests.answered
        assert MAX_ANSWERED in crashes.requests.answered

    async def test_other_entries(self):
        """Crashes seen by different entries add up; repeated reports do not count."""
        entries = [make_crashes(down=True) for _ in range(MAX_CRASHES)]
        for number, crashes in enumerate(entries):
            await lose_answer(crashes, f"i-{number}", 7)
        last = entries[-1]
        for _ in range(2):
            last.merge(entries[0].report().suspects)
            assert not last.is_quarantined(7)
        last.merge(entries[1].report().suspects)
        assert last.is_quarantined(7)

    async def test_parts_logged(self, caplog):
        """The line of a crash names the parts of the prompt."""
        crashes = make_crashes(down=True)
        parts = tuple(SharedPart(number, f"part-{number}") for number in range(99))
        crashes.on_answer_lost(make_record("i-1"), 7, parts)
        await asyncio.gather(*crashes.checks)
        (line,) = [
            record.parts for record in caplog.records if hasattr(record, "parts")
        ]
        assert line == [f"part-{number}" for number in range(MAX_LOGGED_PARTS)]

    # Guards against memory that grows with the requests that ever ended unanswered.
    async def test_parts_dropped(self):
        """The parts of a request are forgotten together with it."""
        crashes = make_crashes(down=False)
        record, parts = make_record("i-1"), (SharedPart(1, "part-1"),)
        for fingerprint in range(2 * MAX_UNANSWERED):
            crashes.add_in_flight(record, fingerprint, parts)
            crashes.remove_in_flight(record, fingerprint)
            crashes.on_unanswered(record, fingerprint, parts)
        watched = crashes.watched[record.incarnation]
        assert watched.parts.keys() == watched.unanswered.keys()

    async def test_probe(self):
        """An upstream is down exactly if it does not accept connections."""
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        record = make_record(address=f"127.0.0.1:{port}")
        assert not await is_down(record)
        server.close()
        await server.wait_closed()
        assert await is_down(record)


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


@pytest.fixture
def registry():
    """Return the upstreams that the registry lists, by instance."""
    return {"i-1": make_record("i-1", started_ms=1)}


def make_watching(clock, registry, *, down=False):
    """Return crashes that watch a registry."""

    async def probe(record):
        return down

    return Crashes(probe=probe, find=registry.get, clock=clock)


class TestSilentCrash:
    """Crashes of upstreams whose connections stay open."""

    # Guards against crashes that go unnoticed because no connection is reset.
    async def test_restarted(self, clock, registry):
        """A request without an answer is suspected once its upstream has restarted."""
        crashes = make_watching(clock, registry)
        crashes.on_unanswered(registry["i-1"], 7)
        clock.now += UNANSWERED_RETENTION_S / 2
        registry["i-1"] = make_record("i-1", started_ms=2)
        crashes.on_registry_change()
        assert crashes.count(7) == 1

    async def test_in_flight(self, clock, registry):
        """A request that waits for its answer is suspected as well."""
        crashes = make_watching(clock, registry)
        crashes.add_in_flight(registry["i-1"], 7)
        registry["i-1"] = make_record("i-1", started_ms=2)
        crashes.on_registry_change()
        assert crashes.count(7) == 1

    @pytest.mark.parametrize("down", [True, False])
    async def test_gone(self, clock, registry, down):
        """If the upstream is no longer listed, a probe tells whether it crashed."""
        crashes = make_watching(clock, registry, down=down)
        crashes.on_unanswered(registry.pop("i-1"), 7)
        crashes.on_registry_change()
        await asyncio.gather(*crashes.checks)
        assert crashes.count(7) == down

    # Guards against a probe that comes after the upstream has restarted.
    async def test_late_probe(self, clock, registry):
        """A crash that the probe misses is found by the upstream's new start."""
        crashes = make_watching(clock, registry, down=False)
        crashes.on_answer_lost(registry["i-1"], 7)
        await asyncio.gather(*crashes.checks)
        assert crashes.count(7) == 0
        registry["i-1"] = make_record("i-1", started_ms=2)
        crashes.on_registry_change()
        assert crashes.count(7) == 1

    async def test_long_ago(self, clock, registry):
        """A request that ended long before the crash is not suspected."""
        crashes = make_watching(clock, registry)
        crashes.on_unanswered(registry["i-1"], 7)
        clock.now += UNANSWERED_RETENTION_S + 1
        registry["i-1"] = make_record("i-1", started_ms=2)
        crashes.on_registry_change()
        assert crashes.count(7) == 0

    async def test_unchanged(self, clock, registry):
        """Nothing is suspected while the registry lists the same incarnation."""
        crashes = make_watching(clock, registry)
        crashes.on_unanswered(registry["i-1"], 7)
        crashes.on_registry_change()
        assert not crashes.checks
        assert crashes.count(7) == 0

    async def test_found_twice(self, clock, registry):
        """A crash that a probe and then the registry report counts once."""
        crashes = make_watching(clock, registry, down=True)
        crashes.on_answer_lost(registry["i-1"], 7)
        await asyncio.gather(*crashes.checks)
        clock.now += UNANSWERED_RETENTION_S / 2
        registry["i-1"] = make_record("i-1", started_ms=2)
        crashes.on_registry_change()
        assert crashes.count(7) == 1

    async def test_repeated_changes(self, clock, registry):
        """A request that hangs at a former incarnation is suspected of one crash."""
        crashes = make_watching(clock, registry)
        crashes.add_in_flight(registry["i-1"], 7)
        registry["i-1"] = make_record("i-1", started_ms=2)
        for _ in range(MAX_CRASHES):
            crashes.on_registry_change()
            clock.now += SAME_CRASH_S + 1
        assert crashes.count(7) == 1

    # Guards against crashes of a server that is back at once, while the list lags.
    async def test_told_by_guard(self, clock, registry):
        """A start that a guard reports counts as one crash, also once it is listed."""
        crashes = make_watching(clock, registry)
        crashes.on_unanswered(registry["i-1"], 7)
        crashes.on_restarted(registry["i-1"], 2)
        assert crashes.count(7) == 1
        crashes.on_unanswered(registry["i-1"], 8)
        registry["i-1"] = make_record("i-1", started_ms=2)
        crashes.on_registry_change()
        assert crashes.count(7) == 1
        assert crashes.count(8) == 0

    async def test_told_several_starts(self, clock, registry):
        """Each start that a guard reports is a crash of its own, however soon."""
        crashes = make_watching(clock, registry)
        for number in range(1, MAX_CRASHES + 1):
            crashes.on_unanswered(registry["i-1"], 7)
            clock.now += 0.4
            crashes.on_restarted(registry["i-1"], 1 + number)
        assert crashes.count(7) == MAX_CRASHES
        assert crashes.is_quarantined(7)

    async def test_found_down_before(self, clock, registry):
        """A start that a guard reports is that of a crash that was found before."""
        crashes = make_watching(clock, registry, down=True)
        crashes.add_in_flight(registry["i-1"], 7)
        crashes.on_answer_lost(registry["i-1"], 7)
        await asyncio.gather(*crashes.checks)
        clock.now += SAME_CRASH_S + 1
        crashes.on_restarted(registry["i-1"], 2)
        assert crashes.count(7) == 1

    async def test_absent(self, clock, registry):
        """An upstream that is no longer listed is probed once."""
        crashes = make_watching(clock, registry)
        crashes.add_in_flight(registry.pop("i-1"), 7)
        for _ in range(2):
            crashes.on_registry_change()
            await asyncio.gather(*crashes.checks)
        assert not crashes.checks

    # Guards against an outage of the store that hides the restarts between crashes.
    async def test_stale_record(self, clock, registry):
        """Crashes of several incarnations under one record count separately."""
        crashes = make_watching(clock, registry, down=True)
        for _ in range(MAX_CRASHES):
            assert not crashes.is_quarantined(7)
            crashes.on_answer_lost(registry["i-1"], 7)
            await asyncio.gather(*crashes.checks)
            clock.now += SAME_CRASH_S + 1
        assert crashes.is_quarantined(7)

    async def test_bounded(self, clock, registry):
        """Only the latest requests without an answer are remembered."""
        crashes = make_watching(clock, registry)
        for fingerprint in range(2 * MAX_UNANSWERED):
            crashes.on_unanswered(registry["i-1"], fingerprint)
        registry["i-1"] = make_record("i-1", started_ms=2)
        crashes.on_registry_change()
        assert len(list(crashes.suspicions)) == MAX_UNANSWERED
        assert crashes.count(2 * MAX_UNANSWERED - 1) == 1
        clock.now += UNANSWERED_RETENTION_S + 1
        crashes.on_registry_change()
        assert not crashes.watched


class TestTrials:
    """Trials of quarantined requests that upstreams answered before."""

    @pytest.fixture
    async def crashes(self, clock):
        """Return the crashes of an entry that answered a request before three."""
        crashes = make_crashes(down=True)
        crashes.clock = clock
        answer(crashes, 7)
        for number in range(MAX_CRASHES):
            await lose_answer(crashes, f"i-{number}", 7)
        return crashes

    # Guards against an earlier answer that exempts a request from quarantine.
    async def test_quarantine(self, crashes):
        """A request that crashes upstreams after an answer is quarantined."""
        assert crashes.is_quarantined(7)

    # Guards against a lookup that is refused for a day because several upstreams, each
    # of which was running it for some caller, crashed at once.
    async def test_cleared(self, crashes, clock):
        """Trials that are answered clear the request."""
        clock.now += SETTLE_S
        for _ in range(CLEARING_ANSWERS):
            assert not crashes.is_quarantined(7)
            crashes.add_in_flight(make_record("i-9"), 7)
            assert crashes.is_quarantined(7)
            answer(crashes, 7, times=1)
            crashes.remove_in_flight(make_record("i-9"), 7)
        assert crashes.count(7) == 0

    async def test_crashes_again(self, crashes, clock):
        """A trial that crashes an upstream is the last."""
        clock.now += SETTLE_S
        assert not crashes.is_quarantined(7)
        await lose_answer(crashes, "i-trial", 7)
        clock.now += ANSWERED_RETENTION_S / 2
        assert crashes.is_quarantined(7)

    # Guards against trials of a request that crashes upstreams one after the other.
    async def test_apart(self, clock):
        """Crashes at different times are no chance: there is no trial."""
        crashes = make_crashes(down=True)
        crashes.clock = clock
        answer(crashes, 7)
        for number in range(MAX_CRASHES):
            clock.now += SETTLE_S
            await lose_answer(crashes, f"i-{number}", 7)
        clock.now += SETTLE_S
        assert crashes.is_quarantined(7)

    async def test_other_entry(self, crashes, clock):
        """Only one entry makes the trials of a request."""
        crashes.requests.is_trial_owner = lambda fingerprint: False
        clock.now += SETTLE_S
        assert crashes.is_quarantined(7)

    async def test_never_answered(self, clock):
        """A request that no upstream answered gets no trial."""
        crashes = make_crashes(down=True)
        crashes.clock = clock
        for number in range(MAX_CRASHES):
            await lose_answer(crashes, f"i-{number}", 7)
        clock.now += SETTLE_S
        assert crashes.is_quarantined(7)

    # Guards against an entry that repeats the trials of another one, of which it heard
    # only afterwards.
    async def test_told_at_once(self, clock):
        """Trials of which an entry hears together with the first crashes count."""
        crashes = make_crashes(down=True)
        crashes.clock = clock
        answer(crashes, 7)
        began = int(time.time()) - 100
        times = [began, began, began + 1, began + 10]
        ids = [f"{at}/i-{number}/1/1" for number, at in enumerate(times)]
        crashes.merge([pb.Suspect(fingerprint=7, crash_ids=ids)])
        clock.now += SETTLE_S
        assert crashes.is_quarantined(7)

    # Guards against crashes that are noticed one after the other and count as trials.
    async def test_noticed_late(self, crashes, clock):
        """Crashes that become known shortly after each other are no trials."""
        for number in range(2):
            clock.now += SETTLE_S - 0.1
            await lose_answer(crashes, f"i-late-{number}", 7)
        clock.now += SETTLE_S
        assert not crashes.is_quarantined(7)


class TestReplaced:
    """Crashes of upstreams whose address the next process took over."""

    @pytest.fixture
    def occupants(self):
        """Return the upstreams that started last, by address."""
        return {}

    @pytest.fixture
    def crashes(self, clock, occupants):
        """Return crashes whose probe finds every address accepting connections."""
        crashes = make_crashes(down=False)
        crashes.clock = clock
        crashes.find = lambda instance: make_record(instance, started_ms=5)
        crashes.occupant = occupants.get
        return crashes

    @staticmethod
    def occupy(occupants, started_ms, instance="i-2"):
        """Let another upstream have the address of the first."""
        record = make_record(instance, started_ms=started_ms)
        occupants[record.address] = record

    # Guards against a crash that is hidden by the next process at the address.
    async def test_probe(self, crashes, occupants):
        """A check finds the crash if the registry lists another one already."""
        self.occupy(occupants, started_ms=6)
        crashes.on_answer_lost(make_record(started_ms=5), 7)
        await asyncio.gather(*crashes.checks)
        assert crashes.count(7) == 1

    async def test_listed_later(self, crashes, occupants):
        """The crash is found when the registry lists the other one, once."""
        crashes.on_unanswered(make_record(started_ms=5), 7)
        crashes.on_registry_change()
        assert crashes.count(7) == 0
        self.occupy(occupants, started_ms=6)
        for _ in range(2):
            crashes.on_registry_change()
            crashes.clock.now += UNANSWERED_RETENTION_S
            crashes.on_unanswered(make_record(started_ms=5), 7)
        assert crashes.count(7) == 1

    async def test_earlier(self, crashes, occupants):
        """An earlier upstream, whose record is left at the address, shows no crash."""
        self.occupy(occupants, started_ms=4)
        crashes.on_unanswered(make_record(started_ms=5), 7)
        crashes.on_registry_change()
        assert crashes.count(7) == 0

    async def test_itself(self, crashes, occupants):
        """The upstream itself at its address shows no crash."""
        self.occupy(occupants, started_ms=5, instance="i-1")
        crashes.on_unanswered(make_record("i-1", started_ms=5), 7)
        crashes.on_registry_change()
        assert crashes.count(7) == 0

    async def test_answer_of_another(self, crashes):
        """An answer by another upstream at the address shows the crash."""
        record = make_record(started_ms=5)
        crashes.on_unanswered(record, 7)
        crashes.on_replaced(record)
        assert crashes.count(7) == 1


class TestUnconfirmed:
    """Lost answers while the registry can't tell whether the upstream has restarted."""

    @pytest.fixture
    def crashes(self, clock):
        """Return crashes whose registry is down and whose probe finds all running."""
        crashes = make_crashes(down=False)
        crashes.clock = clock
        crashes.is_registry_down = lambda: True
        return crashes

    @staticmethod
    async def lose_answers(crashes):
        """Lose the answers of three upstreams to one request."""
        for number in range(MAX_CRASHES):
            await lose_answer(crashes, f"i-{number}", 7)

    # Guards against upstreams that are back at once under their ids while the store is
    # away.
    async def test_quarantine(self, crashes, clock):
        """Upstreams that may have crashed count until the registry tells."""
        await self.lose_answers(crashes)
        clock.now += UNANSWERED_RETENTION_S + 1
        assert crashes.is_quarantined(7)
        crashes.is_registry_down = lambda: False
        assert not crashes.is_quarantined(7)

    async def test_restarted(self, crashes, clock):
        """If the registry then lists later starts, they are crashes."""
        await self.lose_answers(crashes)
        clock.now += UNANSWERED_RETENTION_S + 1
        crashes.is_registry_down = lambda: False
        crashes.find = lambda instance: make_record(instance, started_ms=9)
        crashes.on_registry_change()
        assert crashes.count(7) == MAX_CRASHES

    async def test_answered(self, crashes):
        """A later answer of another upstream speaks for the request."""
        await self.lose_answers(crashes)
        answer(crashes, 7, times=1)
        assert not crashes.is_quarantined(7)
