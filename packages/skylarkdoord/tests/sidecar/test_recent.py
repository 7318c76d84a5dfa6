"""Tests of `skylarkdoord.sidecar._recent`."""

import pytest

from skylarkdoord.sidecar import _recent
from skylarkdoord.sidecar._claim_rows import WholeAnswer
from skylarkdoord.sidecar._recent import MAX_BODY_BYTES, MAX_RUNS, RecentRuns, RunKey

KEY = RunKey("team/customer/key", "hash")
ANSWER = WholeAnswer(200, (), b"done")


class TestRecentRuns:
    """Runs that resends may join."""

    async def test_running(self) -> None:
        """A run that goes on is found, and its answer is given to who waits."""
        recent = RecentRuns()
        recent.begin(KEY)
        run = recent.find(KEY)
        recent.end(KEY, ANSWER)
        assert await run.answer == ANSWER
        assert recent.find(KEY) == run

    async def test_failed(self) -> None:
        """A run without an answer is not joined any more."""
        recent = RecentRuns()
        recent.begin(KEY)
        run = recent.find(KEY)
        recent.end(KEY, None)
        assert await run.answer is None
        assert recent.find(KEY) is None

    async def test_large(self) -> None:
        """A large answer is given to who waits and not kept."""
        recent = RecentRuns()
        recent.begin(KEY)
        recent.end(KEY, ANSWER._replace(body=b"x" * (MAX_BODY_BYTES + 1)))
        assert recent.find(KEY) is None

    async def test_old(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An answer is kept for a bounded time."""
        recent = RecentRuns()
        recent.begin(KEY)
        recent.end(KEY, ANSWER)
        monkeypatch.setattr(_recent, "RETENTION_S", -1.0)
        assert recent.find(KEY) is None

    async def test_many(self) -> None:
        """The oldest runs are forgotten, and not waited for, if there are many."""
        recent = RecentRuns()
        recent.begin(KEY)
        run = recent.find(KEY)
        for number in range(MAX_RUNS):
            recent.begin(RunKey("team/customer/other", str(number)))
        assert len(recent.runs) == MAX_RUNS
        assert await run.answer is None
        assert recent.find(KEY) is None
        recent.end(KEY, ANSWER)
        assert recent.find(KEY) is None
