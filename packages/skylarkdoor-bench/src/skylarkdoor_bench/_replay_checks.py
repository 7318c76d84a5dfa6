"""Steps of a trace that check an expected outcome."""

from typing import NamedTuple

from skylarkdoor_bench._replay_context import CheckFailedError, Replay
from skylarkdoor_bench._replies import Outcome

# An engine that crashes begins the last line of its log with this text.
CRASH_PREFIX = '{"crash":'
_MAX_LISTED = 5


class Ends(NamedTuple):
    """Checks that matching requests ended with one of the expected outcomes.

    Attributes:
        requests: Pattern of the requests' names.
        outcomes: Expected outcomes.
        codes: Expected error codes of requests that were not answered; empty for
            any code.
        retry_after: Whether each refusal must have a Retry-After header.
        least: Minimum number of requests with each expected outcome.
    """

    requests: str
    outcomes: tuple[str, ...] = (Outcome.ANSWERED.value,)
    codes: tuple[str, ...] = ()
    retry_after: bool = False
    least: int = 0

    async def run(self, replay: Replay) -> None:
        """Run the check after all matching requests have ended."""
        replies = await replay.replies(self.requests)
        wrong = []
        for name, (reply, _) in replies.items():
            is_right = reply.outcome in self.outcomes
            if reply.code and self.codes:
                is_right &= reply.code in self.codes
            if reply.outcome is Outcome.REFUSED and self.retry_after:
                is_right &= reply.retry_after_s is not None
            if not is_right:
                description = f"{reply.outcome} {reply.status} {reply.code}"
                wrong.append(f"{name}: {description} retry after {reply.retry_after_s}")
        _check(not wrong, f"{len(wrong)} ended wrongly: {wrong[:_MAX_LISTED]}")
        ended = [reply.outcome for reply, _ in replies.values()]
        for outcome in self.outcomes:
            count = ended.count(Outcome(outcome))
            _check(
                count >= self.least,
                f"only {count} of {self.requests} ended as {outcome}",
            )


class SameAnswer(NamedTuple):
    """Checks that matching requests all have the same answer."""

    requests: str

    async def run(self, replay: Replay) -> None:
        """Run the check after all matching requests have ended."""
        replies = await replay.replies(self.requests)
        bodies = {ended.reply.body for ended in replies.values()}
        _check(len(bodies) == 1, f"{self.requests} had {len(bodies)} different answers")


class RunsOfKey(NamedTuple):
    """Checks how often the plain services executed the keys of matching requests.

    Attributes:
        requests: Pattern of the requests' names.
        times: Expected number of executions of each idempotency key.
    """

    requests: str
    times: int

    async def run(self, replay: Replay) -> None:
        """Run the check after all matching requests have ended."""
        await replay.replies(self.requests)
        runs = await replay.runs_by_key()
        for name in replay.matching_names(self.requests):
            key = replay.arrivals[name].key
            _check(runs[key] == self.times, f"{key} was executed {runs[key]} times")


class EndsBefore(NamedTuple):
    """Checks that all requests of one pattern ended before all of another.

    Attributes:
        requests: Pattern of the requests that end first.
        others: Pattern of the requests that end later.
    """

    requests: str
    others: str

    async def run(self, replay: Replay) -> None:
        """Run the check after all matching requests have ended."""
        earlier = await replay.replies(self.requests)
        later = await replay.replies(self.others)
        last = max(ended.order for ended in earlier.values())
        first = min(ended.order for ended in later.values())
        _check(last < first, f"{self.requests} did not end before {self.others}")


class NoNewWork(NamedTuple):
    """Checks that an upstream executed no requests since its `Mark` step."""

    upstream: str

    async def run(self, replay: Replay) -> None:
        """Run the check."""
        new = await replay.executions(self.upstream) - replay.marks[self.upstream]
        _check(new == 0, f"{self.upstream} executed {new} requests since its mark")


class Crashes(NamedTuple):
    """Checks that the upstreams crashed at most `most` times in total."""

    most: int

    async def run(self, replay: Replay) -> None:
        """Run the check."""
        logs = [replay.cluster.processes[name].log_path for name in _upstreams(replay)]
        crashes = sum(log.read_text().count(CRASH_PREFIX) for log in logs)
        _check(crashes <= self.most, f"upstreams crashed {crashes} times")


def _upstreams(replay: Replay) -> list[str]:
    return [spec.name for spec in replay.cluster.deployment.upstreams]


def _check(holds: bool, message: str) -> None:
    if not holds:
        raise CheckFailedError(message)
