"""Tests of `skylarkdoord.sidecar._recent`."""

import pytest

from skylarkdoord.sidecar import _recent
from skylarkdoord.sidecar._claim_rows import CompleteAnswer
from skylarkdoord.sidecar._recent import MAX_BODY_BYTES, MAX_RUNS, RecentRuns, RunKey

KEY = RunKey("team/customer/key", "hash")
ANSWER = CompleteAnswer(200, (), b"done")


class TestRecentRuns:
    """Runs that retries may join."""

    async def test_running(self) -> None:
        """A running run is found, and its answer is delivered to waiting calls."""
        recent = RecentRuns()
        recent.begin(KEY)
        run = recent.find(KEY)
        recent.end(KEY, ANSWER)
        assert await run.answer == ANSWER
        assert recent.find(KEY) == run

    async def test_failed(self) -> None:
        """A run that ended without an answer is no longer found."""
        recent = RecentRuns()
        recent.begin(KEY)
        run = recent.find(KEY)
        recent.end(KEY, None)
        assert await run.answer is None
        assert recent.find(KEY) is None

    async def test_large(self) -> None:
        """A large answer isn't kept after the run."""
        recent = RecentRuns()
        recent.begin(KEY)
        recent.end(KEY, ANSWER._replace(body=b"x" * (MAX_BODY_BYTES + 1)))
        assert recent.find(KEY) is None

    async def test_old(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An answer is kept for `RETENTION_S`."""
        recent = RecentRuns()
        recent.begin(KEY)
        recent.end(KEY, ANSWER)
        monkeypatch.setattr(_recent, "RETENTION_S", -1.0)
        assert recent.find(KEY) is None

    async def test_many(self) -> None:
        """The oldest run is evicted beyond `MAX_RUNS`; its waiters get no answer."""
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
