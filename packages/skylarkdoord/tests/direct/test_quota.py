"""Tests of `Quota`: customers' limits over all entries."""

import contextlib
import random

import pytest

from skylarkdoord.direct._quota import (
    RESTORED_SHARE,
    USABLE_OVERSHOOT_SHARE,
    Quota,
)
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct.exceptions import QuotaError

from ._make import Clock, make_admitted, make_customer, make_request

# Shortest time between two updates.
MIN_UPDATE_INTERVAL_S = 0.05
# 8 s at 100 tokens per second, and the granted part of an overshoot of 80 tokens.
LIMIT = 800 + USABLE_OVERSHOOT_SHARE * 80


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


@pytest.fixture
def quota(clock):
    """Return a quota with a window of 8 s and an overshoot of 10 %."""
    quota = Quota(QuotaBounds(window_s=8.0, overshoot=0.1), clock=clock)
    clock.now += 8.0
    return quota


def admitted(tokens=100, **changes):
    """Return a request with a number of tokens."""
    request = make_request(prompt_tokens=tokens, max_tokens=0)
    return make_admitted(request, customer=make_customer(**changes))


def use_all(quota):
    """Use up the limit; return how many requests of 100 tokens were admitted."""
    for count in range(1000):
        try:
            quota.use(admitted())
        except QuotaError:
            return count
    raise AssertionError("the limit was never reached")


class TestQuota:
    """`Quota`."""

    def test_limit(self, quota):
        """A window admits the rate, the burst and part of the allowed overshoot."""
        assert use_all(quota) == int(LIMIT // 100)

    def test_window_slides(self, quota, clock):
        """Use leaves the window, and a refusal states when it will."""
        use_all(quota)
        clock.now += 3.0
        with pytest.raises(QuotaError) as refused:
            quota.check(admitted())
        assert refused.value.retry_after_s == pytest.approx(5.0)
        clock.now += 5.1
        quota.use(admitted())

    # Guards against uses that leave the window when the first of their interval does.
    def test_merged_uses(self, quota, clock):
        """Uses that are counted together stay until the last one leaves."""
        quota.use(admitted(tokens=10))
        clock.now += 0.09
        quota.use(admitted(tokens=790))
        clock.now += 7.95
        with pytest.raises(QuotaError):
            quota.use(admitted(tokens=100))
        clock.now += 0.06
        quota.use(admitted(tokens=100))

    def test_others_count(self, quota):
        """Use by other entries counts."""
        quota.use(admitted())
        quota.charge("garden", LIMIT - 150)
        with pytest.raises(QuotaError):
            quota.use(admitted())

    def test_queue_timeout(self, quota, clock):
        """Requests that time out in the queue do not hide the use of others.

        If a use was counted on receipt and taken back after the wait, it left the
        window before its correction, which admitted 2 to 5 % too much.
        """
        used = []
        for step in range(400):
            clock.now += 0.05
            try:
                quota.check(admitted())
            except QuotaError:
                continue
            if step % 2:
                quota.use(admitted())
                used.append(clock.now)
        for start in used:
            within = sum(start <= at < start + 8.0 for at in used)
            assert within * 100 <= LIMIT

    def test_silent_entry(self, quota):
        """An equal share is left to an entry that may be partitioned."""
        quota.silent_entries = lambda: (1, 4)
        assert use_all(quota) == int(LIMIT * 0.75 // 100)

    def test_no_limit(self, quota):
        """A customer without a rate is not limited."""
        for _ in range(100):
            quota.use(admitted(tokens=10_000, rate=0.0))

    def test_tokens_not_stated(self, quota):
        """A request that states no tokens costs the customer's default."""
        request = make_request(has_token_counts=False)
        plain = make_admitted(request, customer=make_customer(default_tokens=7))
        assert quota.cost(plain) == 7.0

    def test_requests(self, quota):
        """A request costs one unit if the customer's units are requests."""
        customer = make_customer(counts_tokens=False)
        assert quota.cost(make_admitted(customer=customer)) == 1.0

    def test_reports_at_once(self, quota):
        """Unreported use above the threshold is reported at once."""
        reported = []
        quota.on_unreported = lambda: reported.append(quota.report_used())
        quota.use(admitted(tokens=10))
        assert reported == []
        quota.use(admitted(tokens=10))
        assert reported == [{"garden": 20.0}]
        quota.use(admitted(tokens=10))
        assert len(reported) == 1

    def test_merge_totals(self, quota):
        """A new entry takes over the totals of others where they are higher."""
        quota.use(admitted())
        quota.merge_totals({"garden": 700.0}, covers_window=True)
        quota.merge_totals({"garden": 300.0}, covers_window=True)
        assert quota.totals() == {"garden": 700.0}


class TestStart:
    """Entries after a restart."""

    def test_all_restart(self, clock):
        """No window exceeds the limit if all entries restart.

        Entries that were killed together lost their totals, so that a customer with
        high demand got its limit twice within a window.
        """
        bounds = QuotaBounds(window_s=8.0, overshoot=0.1)
        used = []
        for _ in range(2):
            quota = Quota(bounds, clock=clock)
            quota.merge_totals({}, covers_window=not used)
            for _ in range(160):
                clock.now += 0.05
                try:
                    quota.use(admitted(tokens=10))
                except QuotaError:
                    continue
                used.append(clock.now)
        for start in used:
            within = sum(start <= at < start + 8.0 for at in used)
            assert within * 10 <= 800 * 1.1

    def test_surge_before(self, clock):
        """No window exceeds the limit if all entries restart after a surge.

        A limit that was used up just before the restart has to count for most of a
        window after it.
        """
        bounds = QuotaBounds(window_s=8.0, overshoot=0.1)
        used = []
        for seconds in (1.0, 8.0):
            quota = Quota(bounds, clock=clock)
            quota.merge_totals({}, covers_window=not used)
            for _ in range(int(seconds / 0.01)):
                clock.now += 0.01
                with contextlib.suppress(QuotaError):
                    quota.use(admitted(tokens=10))
                    used.append(clock.now)
            # Duration of the power loss.
            clock.now += 1.1
        for start in used:
            within = sum(start <= at < start + 8.0 for at in used)
            assert within * 10 <= 800 * 1.1

    def test_history_received(self, clock):
        """An entry that receives the complete totals has the whole limit at once."""
        quota = Quota(QuotaBounds(window_s=8.0, overshoot=0.1), clock=clock)
        quota.merge_totals({}, covers_window=True)
        assert use_all(quota) == int(LIMIT // 100)

    def test_no_history_received(self, clock):
        """An entry with incomplete totals has the limit only after a window."""
        quota = Quota(QuotaBounds(window_s=8.0, overshoot=0.1), clock=clock)
        quota.merge_totals({}, covers_window=False)
        clock.now += 4.0
        assert use_all(quota) == 0
        clock.now += 4.0
        assert use_all(quota) == int(LIMIT // 100)

    @pytest.mark.parametrize(("age_s", "share"), [(0.0, RESTORED_SHARE), (7.2, 0.9)])
    def test_record_without_use(self, clock, age_s, share):
        """An entry with a recent record starts with most of the limit."""
        quota = Quota(QuotaBounds(window_s=8.0, overshoot=0.1), clock=clock)
        quota.merge_totals({}, covers_window=False)
        quota.restore({}, age_s=1.0)
        clock.now += age_s
        assert use_all(quota) == int(share * LIMIT // 100)


class TestRecord:
    """A record that was restored before the totals of another entry arrive."""

    # Guards against an old record that hides the use reported by other entries.
    def test_totals_after_record(self, clock):
        """The other entry's use still counts when the record leaves the window."""
        quota = Quota(QuotaBounds(window_s=8.0, overshoot=0.1), clock=clock)
        quota.restore({"garden": 700.0}, age_s=6.5)
        quota.merge_totals({"garden": 700.0}, covers_window=True)
        clock.now += 2.0
        assert use_all(quota) == int((LIMIT - 700) // 100)

    def test_record_after_totals(self, clock):
        """A record adds nothing to complete totals."""
        quota = Quota(QuotaBounds(window_s=8.0, overshoot=0.1), clock=clock)
        quota.merge_totals({"garden": 300.0}, covers_window=True)
        quota.restore({"garden": 700.0}, age_s=6.5)
        assert use_all(quota) == int((LIMIT - 300) // 100)

    def test_incomplete_totals(self, clock):
        """Totals of an entry that has just started itself do not replace a record."""
        quota = Quota(QuotaBounds(window_s=8.0, overshoot=0.1), clock=clock)
        quota.restore({"garden": 700.0}, age_s=1.0)
        quota.merge_totals({"garden": 100.0}, covers_window=False)
        assert quota.totals() == {"garden": 700.0}


class TestManyEntries:
    """A customer's surge over many entries with a long update interval."""

    ENTRIES = 29
    # 0.2 s for up to 8 entries; beyond, it grows in proportion to their number.
    UPDATE_INTERVAL_S = 0.2 * ENTRIES / 8
    RATE = 300_000.0
    BURST = 265_000.0
    TOLERANCE = 110_000.0
    TOKENS = 7_000
    STEP_S = 0.005
    SECONDS = 16.0

    def simulate(self, clock, seed):
        """Simulate a surge; return the sent requests as (time in seconds, tokens)."""
        rng = random.Random(seed)
        bounds = QuotaBounds(window_s=8.0, overshoot=0.1, tolerance=self.TOLERANCE)
        quotas = [Quota(bounds, clock=clock) for _ in range(self.ENTRIES)]
        for quota in quotas:
            quota.silent_entries = lambda: (0, self.ENTRIES)
        clock.now += 8.0
        reported = [{} for _ in quotas]
        urgent = set()
        last_update = [0.0] * self.ENTRIES
        for number, quota in enumerate(quotas):
            quota.on_unreported = lambda number=number: urgent.add(number)
        next_update = [
            clock.now + rng.uniform(0, self.UPDATE_INTERVAL_S) for _ in quotas
        ]
        end = clock.now + self.SECONDS
        request = admitted(self.TOKENS, rate=self.RATE, burst=self.BURST)
        sent = []
        while clock.now < end:
            clock.now += self.STEP_S
            for number, quota in enumerate(quotas):
                is_urgent = (
                    number in urgent
                    and clock.now >= last_update[number] + MIN_UPDATE_INTERVAL_S
                )
                if not is_urgent and next_update[number] > clock.now:
                    continue
                urgent.discard(number)
                last_update[number] = clock.now
                next_update[number] = clock.now + self.UPDATE_INTERVAL_S
                for customer, units in quota.report_used().items():
                    unreported = units - reported[number].get(customer, 0.0)
                    reported[number][customer] = units
                    for other in quotas:
                        if other is not quota:
                            other.charge(customer, unreported)
            demand = 3.0 * self.RATE * self.STEP_S / self.TOKENS
            for _ in range(int(demand) + (rng.random() < demand % 1)):
                with contextlib.suppress(QuotaError):
                    rng.choice(quotas).use(request)
                    sent.append((clock.now, self.TOKENS))
        return sent

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_surge(self, clock, seed):
        """No window exceeds the limit, overshoot and tolerance that are configured."""
        sent = self.simulate(clock, seed)
        allowed = (self.RATE * 8.0 + self.BURST) * 1.1 + self.TOLERANCE
        most = max(
            sum(tokens for at, tokens in sent if start <= at < start + 8.0)
            for start, _ in sent
        )
        assert most <= allowed
