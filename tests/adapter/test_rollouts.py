"""Tests of roll-outs over real processes, some of which fail meanwhile."""

import asyncio
import signal
import time

import pytest

from ._released import (
    ANSWER_S,
    DURATION_S,
    EXPOSURE_FRACTION,
    EXPOSURE_TOLERANCE,
    KEY,
    NEW,
    OLD,
    ROLLBACK_S,
    Release,
    failing,
    good,
)

# Entries make at most this many calls a second of the tables of roll-outs together.
MOST_CALLS_PER_S = 6
LEASE_TABLE = "skylarkdoor-rollouts"


def check_exposure(release):
    """Check what a bad version got between its order and the time limit."""
    since, until = release.ordered_at, release.ordered_at + DURATION_S
    new = release.sent(release.new, since, until)
    total = new + release.sent(release.old, since, until)
    assert new <= EXPOSURE_FRACTION * total + EXPOSURE_TOLERANCE


async def check_reverted(release):
    """Check that a bad version is reverted in time and gets nothing afterwards."""
    status, took_s = await release.until_state("completed", "reverted")
    assert status == {"state": "reverted", "to": NEW}
    assert took_s <= DURATION_S
    decided_at = time.monotonic()
    await asyncio.sleep(1.0)
    check_exposure(release)
    assert not release.sent(release.new, decided_at)
    assert release.sent(release.old, decided_at)


async def check_completed(release):
    """Check that a good version is completed in time and gets all requests."""
    status, took_s = await release.until_state("completed", "reverted")
    assert status == {"state": "completed", "to": NEW}
    assert took_s <= DURATION_S
    decided_at = time.monotonic()
    running = sum(server.running for server in release.old)
    await asyncio.sleep(1.0)
    assert not running
    assert not release.sent(release.old, decided_at)
    assert release.sent(release.new, decided_at)


class TestVersions:
    """Good and bad versions, with nothing else amiss."""

    # Guards against a good version that is not taken over, or too late.
    async def test_good(self, store, tmp_path):
        """A good version is completed, with few calls of the store."""
        async with Release(store, tmp_path, good()) as release:
            await asyncio.sleep(0.5)
            before = len([use for use in store.uses if use[1] == LEASE_TABLE])
            assert not before
            await release.order()
            await release.until_state("in_progress")
            await check_completed(release)
            tables = (LEASE_TABLE, "status")
            calls = [table for _, table in store.uses if table in tables]
            assert len(calls) <= MOST_CALLS_PER_S * DURATION_S
            store.uses.clear()
            await asyncio.sleep(2.0)
            assert not [table for _, table in store.uses if table in tables]
            refused = [status for _, status in release.results if status >= 500]
            assert not refused

    # Guards against a bad version that stays in use or returns.
    async def test_bad(self, store, tmp_path):
        """A version whose answers fail is reverted and gets nothing afterwards."""
        async with Release(store, tmp_path, failing()) as release:
            await asyncio.sleep(0.5)
            await release.order()
            await check_reverted(release)

    # Guards against a version whose answers are whole, but late.
    async def test_slow(self, store, tmp_path):
        """A version that takes several times as long is reverted."""
        async with Release(store, tmp_path, good(5 * ANSWER_S)) as release:
            await asyncio.sleep(0.5)
            await release.order()
            await check_reverted(release)

    # Guards against a version that stays shut out although it is ordered again.
    async def test_again(self, store, tmp_path):
        """A reverted version gets its trial again with the next order."""
        async with Release(store, tmp_path, failing()) as release:
            await asyncio.sleep(0.5)
            await release.order()
            await check_reverted(release)
            for server in release.new:
                server.answer = good()
            await release.order()
            await check_completed(release)

    # Guards against a change of choice where no roll-outs are configured.
    async def test_not_configured(self, store, tmp_path):
        """Without the settings, an order changes nothing."""
        async with Release(store, tmp_path, good(), rollouts=None) as release:
            await release.order()
            await asyncio.sleep(2.0)
            assert release.status() is None
            assert not [use for use in store.uses if use[1] in (LEASE_TABLE, "status")]
            assert release.sent(release.new, release.ordered_at)


class TestOrders:
    """Orders of other kinds."""

    # Guards against a process that fails with an order, or takes a part of it.
    @pytest.mark.parametrize(
        "changes",
        [{"durationS": "x"}, {"durationS": 0}, {"to": 2}, {"service": "other"}],
    )
    async def test_malformed(self, store, tmp_path, changes):
        """A malformed order is logged once by each entry and changes nothing."""
        async with Release(store, tmp_path, good()) as release:
            await release.order(**changes)
            await asyncio.sleep(1.5)
            assert release.status() is None
            rejected = release.has_logged("row_rejected")
            assert [line["key"] for line in rejected] == [KEY] * release.count
            assert release.sent(release.old, release.ordered_at)

    # Guards against a roll-out that waits for the time limit.
    async def test_serves_alone(self, store, tmp_path):
        """The version that serves alone is completed at once."""
        async with Release(store, tmp_path, good()) as release:
            await release.write_rows(release.new, state="draining")
            await asyncio.sleep(0.5)
            await release.order(to=OLD)
            status, took_s = await release.until_state("completed", "reverted")
            assert status == {"state": "completed", "to": OLD}
            assert took_s < 1.0

    async def test_absent(self, store, tmp_path):
        """A version that no upstream runs is reverted at the time limit."""
        async with Release(store, tmp_path, good()) as release:
            await release.order(to="v9", durationS=3.0)
            status, took_s = await release.until_state("completed", "reverted")
            assert status == {"state": "reverted", "to": "v9"}
            assert 2.0 < took_s <= 3.0


class TestFailures:
    """Processes and the store fail midway."""

    # Guards against decisions that only live in processes.
    async def test_restart(self, store, tmp_path):
        """All entries restart during the trial of a good version."""
        async with Release(store, tmp_path, good()) as release:
            await release.order()
            await asyncio.sleep(1.5)
            await release.restart_all()
            await check_completed(release)

    async def test_restart_bad(self, store, tmp_path):
        """All entries restart while a version goes bad."""
        async with Release(store, tmp_path, good()) as release:
            await release.order()
            await asyncio.sleep(1.5)
            for server in release.new:
                server.answer = failing()
            await release.restart_all()
            await check_reverted(release)

    # Guards against a version that was reverted and is used after a restart.
    async def test_restart_after(self, store, tmp_path):
        """All entries restart after the version was reverted."""
        async with Release(store, tmp_path, failing()) as release:
            await release.order()
            await check_reverted(release)
            since = time.monotonic()
            await release.restart_all()
            await asyncio.sleep(3.0)
            assert not release.sent(release.new, since)
            assert release.sent(release.old, since)

    # Guards against a roll-out that ends with its coordinator.
    @pytest.mark.parametrize("at_s", [0.3, 2.0, 4.3])
    async def test_coordinator(self, store, tmp_path, at_s):
        """The coordinator is killed and does not come back."""
        async with Release(store, tmp_path, good(), entries=3) as release:
            await release.order()
            await asyncio.sleep(at_s)
            await release.daemons[0].kill()
            release.urls.pop(0)
            await check_completed(release)

    async def test_coordinator_bad(self, store, tmp_path):
        """The coordinator is killed as a version goes bad."""
        async with Release(store, tmp_path, good(), entries=3) as release:
            await release.order()
            await asyncio.sleep(1.5)
            for server in release.new:
                server.answer = failing()
            await release.daemons[0].kill()
            release.urls.pop(0)
            await check_reverted(release)

    # Guards against a status that is missing or contrary after a lost answer.
    @pytest.mark.parametrize("table", ["status", LEASE_TABLE])
    @pytest.mark.parametrize("at_s", [0.0, 2.0])
    async def test_lost_answer(self, store, tmp_path, table, at_s):
        """The store makes a write and does not answer."""
        async with Release(store, tmp_path, failing()) as release:
            await asyncio.sleep(0.5)
            release.new[0].answer = release.new[1].answer = (
                failing() if at_s else good()
            )
            if not at_s:
                store.lost_answers.add(table)
            await release.order()
            if at_s:
                await release.until_state("in_progress")
                store.lost_answers.add(table)
                await check_reverted(release)
            else:
                await check_completed(release)
            assert not store.lost_answers

    # Guards against a decision while the store is away, and against none afterwards.
    async def test_store_down(self, store, tmp_path):
        """A bad version gets nothing while the store is away, and is reverted after."""
        async with Release(store, tmp_path, good()) as release:
            await release.order()
            await asyncio.sleep(1.5)
            store.status = 503
            for server in release.new:
                server.answer = failing()
            bad_since = time.monotonic()
            await asyncio.sleep(3.0)
            store.status = 200
            await check_reverted(release)
            assert not release.sent(release.new, bad_since + ROLLBACK_S)

    # Guards against a frozen coordinator that holds a roll-out up, or that goes on with
    # an old decision afterwards.
    async def test_frozen_coordinator(self, store, tmp_path):
        """The coordinator is suspended while a version goes bad."""
        async with Release(store, tmp_path, good(), entries=3) as release:
            await release.order()
            await asyncio.sleep(1.0)
            frozen = release.daemons[0].process
            frozen.send_signal(signal.SIGSTOP)
            url = release.urls.pop(0)
            for server in release.new:
                server.answer = failing()
            await asyncio.sleep(4.0)
            frozen.send_signal(signal.SIGCONT)
            release.urls.append(url)
            await check_reverted(release)


class TestOlderCopy:
    """The store comes back from an older copy."""

    # Guards against an order that ends without a status, or twice.
    @pytest.mark.parametrize("has_order", [True, False])
    async def test_midway(self, store, tmp_path, has_order):
        """A roll-out goes on, whether or not the copy has its order."""
        store.era = 3
        async with Release(store, tmp_path, good()) as release:
            older = store.copy()
            await release.order()
            ordered = store.tables["op"][KEY]
            if has_order:
                older = store.copy()
            await release.until_state("in_progress")
            await asyncio.sleep(1.0)
            await store.come_back(older)
            if not has_order:
                # Only lets the test find the status; the entries get no such row.
                store.tables["op"].setdefault(KEY, ordered)
            await check_completed(release)

    # Guards against a version that returns with the copy.
    async def test_after(self, store, tmp_path):
        """What was decided is written again and stays in force."""
        store.era = 3
        async with Release(store, tmp_path, failing()) as release:
            await release.order()
            older = store.copy()
            await check_reverted(release)
            since = time.monotonic()
            await store.come_back(older)
            async with asyncio.timeout(5.0):
                while release.status() is None:
                    await asyncio.sleep(0.05)
            assert release.status() == {"state": "reverted", "to": NEW}
            await asyncio.sleep(1.0)
            assert not release.sent(release.new, since)
            await release.restart_all()
            await asyncio.sleep(2.0)
            assert not release.sent(release.new, since)
            assert release.status() == {"state": "reverted", "to": NEW}
