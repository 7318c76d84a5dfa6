"""Tests of the quarantine of parts of prompts that crash upstreams."""

import asyncio

import pytest

from skylarkdoor.suspicion import MAX_SUSPICIONS, Suspicion
from skylarkdoord.direct.evidence import _crashes
from skylarkdoord.direct.evidence._crash_state import MAX_CRASHES
from skylarkdoord.direct.evidence._crashes import Crashes
from skylarkdoord.direct.evidence._crashing_parts import (
    ANSWER_TIME_S,
    ANSWERED_TRIAL_S,
    MAX_PART_CRASHES,
    TRIAL_BACKOFF,
    UNANSWERED_TRIAL_S,
    PartEvidence,
    find_culprits,
    find_leading,
)
from skylarkdoord.direct.evidence._shared_suspicions import MAX_REPORTED_SUSPECTS
from skylarkdoord.direct.evidence._suspect_keys import SharedPart
from skylarkdoord.direct.evidence._suspect_records import decode, encode

from ._crash_simulation import Simulation
from ._make import Clock, make_record

SHARED, BAD, ITEM = (SharedPart(n, name) for n, name in enumerate("fbi", start=1))
# Sends with a part, later than its fifth crash allows, that the users accept.
MAX_SENDS_AFTER = 3
MAX_REFUSED_SHARE = 0.05


@pytest.fixture(autouse=True)
def no_probe_delay(monkeypatch):
    """Probe upstreams without delay."""
    monkeypatch.setattr(_crashes, "PROBE_DELAY_S", 0.0)


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


@pytest.fixture
def crashes(clock):
    """Return crashes whose probe finds every upstream down."""
    return make_crashes(clock)


def make_crashes(clock):
    """Return crashes whose probe finds every upstream down."""

    async def is_down(record):
        return True

    return Crashes(probe=is_down, clock=clock)


async def crash(crashes, numbers, *parts):
    """Crash upstreams, each by a request of its own with these parts."""
    for number in numbers:
        record = make_record(f"i-{number}")
        crashes.on_answer_lost(record, 1000 + number, parts)
        await asyncio.gather(*crashes.checks)


def answer(crashes, *parts):
    """Answer a request with these parts that is sent now."""
    crashes.on_answered(1, crashes.clock(), parts)


class TestQuarantine:
    """Which parts are quarantined, from what crashes."""

    async def test_never_answered(self, crashes):
        """A part that no upstream answers is quarantined after a few crashes."""
        await crash(crashes, range(MAX_PART_CRASHES - 1), BAD)
        assert crashes.parts.find_quarantined([BAD]) is None
        await crash(crashes, [9], BAD)
        assert crashes.parts.find_quarantined([SHARED, BAD]) == BAD

    # Guards against callers of a common part that are refused with those of a bad one.
    async def test_shared_part(self, crashes):
        """A part that comes with the bad one is spared, though answered less lately."""
        answer(crashes, SHARED)
        await crash(crashes, range(MAX_PART_CRASHES + 2), SHARED, BAD)
        assert crashes.parts.find_quarantined([SHARED]) is None
        assert crashes.parts.find_quarantined([BAD]) == BAD

    # Guards against sound requests that are refused one by one after crashes of a part.
    async def test_sound_requests(self, crashes):
        """Crashes that the bad part explains do not count against a request."""
        sound = 99
        for number in range(MAX_CRASHES):
            crashes.on_unanswered(make_record(f"i-{number}"), sound)
            await crash(crashes, [number], BAD)
        assert crashes.is_quarantined(sound)
        await crash(crashes, [8, 9], BAD)
        assert crashes.parts.find_quarantined([BAD]) == BAD
        assert crashes.count(sound) == 0
        assert not crashes.is_quarantined(sound)

    # Guards against a part that is blamed for a single request which holds it.
    async def test_one_request(self, crashes):
        """Crashes of one repeated request speak against it, not against its parts."""
        for number in range(MAX_PART_CRASHES):
            crashes.on_answer_lost(make_record(f"i-{number}"), 7, (ITEM,))
            await asyncio.gather(*crashes.checks)
        assert crashes.is_quarantined(7)
        assert crashes.parts.find_quarantined([ITEM]) is None

    async def test_answer_between(self, crashes, clock):
        """An answer clears a part of the crashes before it, and of no later one."""
        for number in range(3 * MAX_PART_CRASHES):
            await crash(crashes, [number], SHARED)
            clock.now += 1.0
            answer(crashes, SHARED)
        assert crashes.parts.find_quarantined([SHARED]) is None
        assert crashes.count(SHARED.fingerprint) == 0

    async def test_answer_under_way(self, crashes, clock):
        """An answer that began before the crashes were known clears none of them."""
        began_at = clock.now
        clock.now += 1.0
        await crash(crashes, range(MAX_PART_CRASHES), BAD)
        crashes.on_answered(1, began_at, [BAD], began_at)
        clock.now += ANSWER_TIME_S
        await crash(crashes, [9], BAD)
        assert crashes.parts.find_quarantined([BAD]) == BAD

    # Guards against common parts that are refused because many upstreams crash at once.
    async def test_answered_lately(self, crashes, clock):
        """A part that was answered has time for another answer."""
        answer(crashes, SHARED)
        await crash(crashes, range(2 * MAX_PART_CRASHES), SHARED)
        assert crashes.parts.find_quarantined([SHARED]) is None
        clock.now += ANSWER_TIME_S
        await crash(crashes, [99], SHARED)
        assert crashes.parts.find_quarantined([SHARED]) == SHARED

    # Guards against requests with a bad part that all reach the first upstreams which
    # are back, as no crash or answer causes a review while none is up.
    async def test_all_down(self, crashes, clock):
        """A part that leads the others is quarantined before the next send."""
        answer(crashes, BAD, SHARED)
        await crash(crashes, range(MAX_PART_CRASHES), BAD, SHARED)
        await crash(crashes, [7, 8], BAD)
        assert crashes.parts.find_quarantined([BAD]) is None
        clock.now += ANSWERED_TRIAL_S / 2
        assert crashes.parts.find_quarantined([BAD]) is None
        crashes.parts.is_trial_owner = lambda fingerprint: False
        clock.now += ANSWER_TIME_S
        assert crashes.parts.find_quarantined([SHARED]) is None
        assert crashes.parts.find_quarantined([BAD]) == BAD

    # Guards against common parts that are refused after all upstreams crashed for
    # another reason.
    async def test_all_down_together(self, crashes, clock):
        """Parts that share the crashes stay in service until an answer or a crash."""
        crashes.parts.is_trial_owner = lambda fingerprint: False
        answer(crashes, ITEM, SHARED)
        await crash(crashes, range(2 * MAX_PART_CRASHES - 1), ITEM, SHARED)
        await crash(crashes, [99], SHARED)
        clock.now += ANSWER_TIME_S
        assert crashes.parts.find_quarantined([ITEM, SHARED]) is None

    def test_leading(self):
        """A part leads if it explains all crashes, and clearly more than any other."""
        whole = PartEvidence(1, frozenset("abcdef"), was_answered=True, age_s=9.0)
        near = PartEvidence(2, frozenset("abcde"), was_answered=True, age_s=9.0)
        far = PartEvidence(3, frozenset("abcd"), was_answered=True, age_s=9.0)
        elsewhere = PartEvidence(4, frozenset("wxyz"), was_answered=True, age_s=9.0)
        assert find_leading([]) is None
        assert find_leading([far, whole]) == whole
        assert find_leading([far, near, whole]) is None
        assert find_leading([elsewhere, whole]) is None
        assert find_leading([far, whole], [frozenset("abc")]) is None
        assert find_leading([whole._replace(age_s=1.0)]) is None

    def test_second_part(self):
        """A second bad part is found, though the first explains most of its crashes."""
        first = PartEvidence(1, frozenset("abcde"), was_answered=False)
        second = PartEvidence(2, frozenset("abcxy"), was_answered=False)
        companion = PartEvidence(3, frozenset("abcd"), was_answered=False)
        found = find_culprits([companion, second, first], frozenset())
        assert found == [first, second]

    def test_several_requests(self):
        """A part explains what would take several repeated requests to explain."""
        part = PartEvidence(1, frozenset("abcdef"), was_answered=False)
        one, other = frozenset("abcde"), frozenset("def")
        assert find_culprits([part], frozenset(), [one]) == []
        assert find_culprits([part], frozenset(), [frozenset("abc"), other]) == [part]


class TestPartTrials:
    """Trials of quarantined parts."""

    @pytest.fixture
    async def quarantining(self, crashes):
        """Return crashes of an entry that quarantines a part."""
        await crash(crashes, range(MAX_PART_CRASHES), BAD)
        return crashes

    # Guards against a part that stays refused after its engines were mended.
    async def test_answered(self, quarantining, clock):
        """One answered trial releases the part."""
        clock.now += UNANSWERED_TRIAL_S
        assert quarantining.parts.find_quarantined([BAD]) is None
        answer(quarantining, BAD)
        clock.now += 1.0
        assert quarantining.parts.find_quarantined([BAD]) is None

    async def test_crashed(self, quarantining, clock):
        """Each trial that crashes an upstream delays the next one further."""
        delay_s = UNANSWERED_TRIAL_S
        for number in range(3):
            clock.now += delay_s
            assert quarantining.parts.find_quarantined([BAD]) is None
            await crash(quarantining, [100 + number], BAD)
            delay_s *= TRIAL_BACKOFF
            clock.now += delay_s - 1.0
            assert quarantining.parts.find_quarantined([BAD]) == BAD
            clock.now += 1.0 - delay_s

    async def test_late_copies(self, quarantining, clock):
        """Crashes by requests that were under way delay the trial, and no more."""
        clock.now += 0.5
        await crash(quarantining, [100], BAD)
        clock.now += UNANSWERED_TRIAL_S
        assert quarantining.parts.find_quarantined([BAD]) is None

    async def test_one_at_a_time(self, quarantining, clock):
        """While a trial is in flight, or its outcome unknown, there is no other."""
        clock.now += UNANSWERED_TRIAL_S
        record = make_record("i-trial")
        quarantining.add_in_flight(record, 5, (BAD,))
        assert quarantining.parts.find_quarantined([BAD]) == BAD
        quarantining.remove_in_flight(record, 5)
        quarantining.on_unanswered(record, 5, (BAD,))
        assert quarantining.parts.find_quarantined([BAD]) == BAD

    async def test_other_entry(self, quarantining, clock):
        """Only one entry makes the trials of a part."""
        quarantining.parts.is_trial_owner = lambda fingerprint: False
        clock.now += UNANSWERED_TRIAL_S
        assert quarantining.parts.find_quarantined([BAD]) == BAD

    async def test_answered_before(self, crashes, clock):
        """A part that was answered shortly before is tried sooner."""
        answer(crashes, BAD)
        await crash(crashes, [1], BAD)
        clock.now += ANSWER_TIME_S
        await crash(crashes, range(2, 2 + MAX_PART_CRASHES), BAD)
        assert crashes.parts.find_quarantined([BAD]) == BAD
        clock.now += ANSWERED_TRIAL_S
        assert crashes.parts.find_quarantined([BAD]) is None


class TestSharing:
    """What entries tell each other and record."""

    async def test_other_entries(self, crashes, clock):
        """Crashes seen by several entries add up, with the name of the part."""
        other = make_crashes(clock)
        await crash(crashes, range(2), BAD)
        await crash(other, range(2, MAX_PART_CRASHES), BAD)
        other.merge(crashes.report().suspects)
        assert other.parts.find_quarantined([BAD]) == BAD
        assert other.parts.quarantined[BAD.fingerprint].name == BAD.name

    async def test_cleared(self, crashes, clock):
        """An answer at one entry releases the part at the others."""
        other = make_crashes(clock)
        await crash(crashes, range(MAX_PART_CRASHES), BAD)
        other.merge(crashes.report().suspects)
        answer(crashes, BAD)
        other.merge(crashes.report().suspects)
        assert other.parts.find_quarantined([BAD]) is None

    async def test_restart(self, crashes, clock):
        """A new incarnation takes over the quarantine from the record."""
        await crash(crashes, range(MAX_PART_CRASHES), BAD)
        restarted = make_crashes(clock)
        restarted.restore(decode(encode(crashes.observed)))
        assert restarted.parts.find_quarantined([BAD]) == BAD

    def test_former_record(self):
        """A record of a former build, which names no parts, is read."""
        (suspicion,) = decode(b'{"07": {"crashes": ["1/i/1/1"], "cleared": []}}')
        assert suspicion == Suspicion(7, {"1/i/1/1"})


class TestBounds:
    """Memory and messages."""

    async def test_many_parts(self, crashes):
        """A flood of parts does not push out a part that crashed several upstreams."""
        await crash(crashes, range(MAX_PART_CRASHES), BAD)
        for number in range(2):
            parts = tuple(
                SharedPart(1000 + number * MAX_SUSPICIONS + part, f"{part}")
                for part in range(MAX_SUSPICIONS)
            )
            await crash(crashes, [100 + number], *parts)
        assert len(crashes.parts.known_at) <= MAX_SUSPICIONS
        assert crashes.parts.find_quarantined([BAD]) == BAD
        assert len(crashes.report().suspects) == MAX_REPORTED_SUSPECTS


class TestSimulated:
    """Entries that share upstreams which crash by parts of prompts, or for no part."""

    # Guards against the report at other loads: requests with one part, no two alike,
    # crash server after server, or sound ones are refused in their place.
    @pytest.mark.parametrize("seed", [1, 2])
    @pytest.mark.parametrize("in_flight", [1, 4, 20])
    @pytest.mark.parametrize("bad", [("b",), ("b", "c"), ("b", "c", "d")])
    def test_bad_parts(self, bad, in_flight, seed):
        """Each is found in time, and hardly any sound request is refused."""
        run = Simulation(in_flight=in_flight, bad=bad, seed=seed).run(20.0)
        assert run.late_sends() <= MAX_SENDS_AFTER
        assert run.refused_share() <= MAX_REFUSED_SHARE

    @pytest.mark.parametrize(
        "changes",
        [
            {"crash_interval_s": 1.0},
            {"crash_interval_s": 5.0, "crashed_at_once": 5},
            {"crash_interval_s": 10.0, "crashed_at_once": 8},
        ],
        ids=["one-by-one", "most-at-once", "all-at-once"],
    )
    def test_no_bad_part(self, changes):
        """Crashes for another reason cost hardly any request."""
        run = Simulation(in_flight=4, bad=(), **changes).run(25.0)
        assert run.refused_share() <= MAX_REFUSED_SHARE

    # Guards against a part that goes on crashing upstreams because it was sound before.
    def test_bad_after_answers(self):
        """A part that upstreams answered before it became bad is found in time."""
        run = Simulation(in_flight=4, is_bad=lambda now: now >= 10.0, seed=9).run(30.0)
        assert run.late_sends() <= MAX_SENDS_AFTER

    def test_mended(self):
        """A part that crashes no more is served again within a minute."""
        run = Simulation(in_flight=4, is_bad=lambda now: now < 10.0).run(70.0)
        assert run.bad_sends["bad"][-1] > 60.0
