"""Sends the requests of a trace at their times."""

import asyncio
import itertools
import time
from collections.abc import Sequence
from typing import NamedTuple

import aiohttp

from skylarkdoor_bench._calls import Call, make_calls
from skylarkdoor_bench._deployments import Deployment
from skylarkdoor_bench._replies import Outcome, Reply, send
from skylarkdoor_bench._trace import Arrival

# How long after its deadline a caller waits for an answer or a refusal.
GRACE_S = 1.0
LAG_INTERVAL_S = 0.02
MOST_RESENDS = 2


class Result(NamedTuple):
    """A request of the trace and its end.

    Attributes:
        arrival: The request.
        reply: The last reply.
        sent_s: When it was sent, in seconds from the start.
        ended_s: When its last reply had come.
        first_token_s: Time from sending to the first token of a stream.
        gaps_s: Times between the tokens of a stream.
        sendings: How often it was sent.
    """

    arrival: Arrival
    reply: Reply
    sent_s: float
    ended_s: float
    first_token_s: float | None
    gaps_s: Sequence[float]
    sendings: int


class Storm(NamedTuple):
    """When callers resend refused and broken requests.

    Attributes:
        start_s: Its begin, in seconds from the start.
        end_s: Its end.
    """

    start_s: float = 0.0
    end_s: float = 0.0

    def covers(self, now_s: float) -> bool:
        """Return whether a time lies within it."""
        return self.start_s <= now_s < self.end_s


NO_STORM = Storm()


class LoadReport(NamedTuple):
    """What a load did.

    Attributes:
        results: One for each request, in the order of the trace.
        seconds: From the first arrival to the last reply.
        worst_lag_s: Longest time by which the tool's own loop was late.
        cpu_share: Share of a core that the tool used.
    """

    results: list[Result]
    seconds: float
    worst_lag_s: float
    cpu_share: float


class Load:
    """Sends a trace to the entries of a deployment.

    Args:
        session: The session for all requests.
        deployment: Whose models and pools the requests name.
        urls: The entries' base URLs, used in turn.
        arrivals: The trace.
        storm: When callers resend.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        deployment: Deployment,
        urls: Sequence[str],
        arrivals: Sequence[Arrival],
        *,
        storm: Storm = NO_STORM,
    ) -> None:
        self.session = session
        self.arrivals = arrivals
        self.storm = storm
        self.urls = itertools.cycle(urls)
        self.calls = make_calls(deployment, arrivals)
        self.loop = asyncio.get_running_loop()
        self.started = 0.0
        self.worst_lag_s = 0.0

    async def run(self) -> LoadReport:
        """Send every request at its time and wait for all replies."""
        watch = asyncio.create_task(self._watch_lag())
        cpu_before = time.process_time()
        self.started = self.loop.time()
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(self._serve(arrival, call))
                    for arrival, call in zip(self.arrivals, self.calls, strict=True)
                ]
        finally:
            watch.cancel()
        seconds = self.now_s()
        cpu_s = time.process_time() - cpu_before
        results = [task.result() for task in tasks]
        return LoadReport(results, seconds, self.worst_lag_s, cpu_s / seconds)

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return self.loop.time() - self.started

    async def _serve(self, arrival: Arrival, call: Call) -> Result:
        await asyncio.sleep(arrival.at_s - self.now_s())
        sent_s = self.now_s()
        ends_s = sent_s + arrival.deadline_s
        for sendings in itertools.count(1):
            reply = await self._send(arrival, call, ends_s - self.now_s())
            pause_s = self._resend_pause_s(arrival, reply, ends_s, sendings)
            if pause_s is None:
                break
            await asyncio.sleep(pause_s)
        return self._result(arrival, reply, sent_s, sendings)

    def _resend_pause_s(
        self, arrival: Arrival, reply: Reply, ends_s: float, sendings: int
    ) -> float | None:
        is_broken = reply.outcome in (Outcome.REFUSED, Outcome.CUT, Outcome.UNKNOWN)
        now_s = self.now_s()
        if not (is_broken and arrival.key and self.storm.covers(now_s)):
            return None
        pause_s = reply.retry_after_s or 0.0
        if sendings > MOST_RESENDS or now_s + pause_s >= ends_s:
            return None
        return pause_s

    def _result(
        self, arrival: Arrival, reply: Reply, sent_s: float, sendings: int
    ) -> Result:
        times = [at - self.started for at in reply.token_times]
        first_token_s = times[0] - sent_s if times else None
        gaps_s = [later - sooner for sooner, later in itertools.pairwise(times)]
        ended_s = self.now_s()
        is_late = ended_s - sent_s > arrival.deadline_s
        if reply.outcome is Outcome.ANSWERED and is_late:
            reply = reply._replace(outcome=Outcome.LATE)
        return Result(arrival, reply, sent_s, ended_s, first_token_s, gaps_s, sendings)

    async def _send(self, arrival: Arrival, call: Call, left_s: float) -> Reply:
        timeout = aiohttp.ClientTimeout(total=left_s + GRACE_S)
        return await send(
            self.session, next(self.urls), arrival, call, left_s, timeout=timeout
        )

    async def _watch_lag(self) -> None:
        while True:
            due = self.loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.worst_lag_s = max(self.worst_lag_s, self.loop.time() - due)
