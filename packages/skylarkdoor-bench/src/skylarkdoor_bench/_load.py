"""Load generator that sends the requests of a trace at their arrival times."""

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

# Time after the deadline for which a caller still waits for a reply.
REPLY_GRACE_S = 1.0
# Interval at which the event loop's lag is sampled.
LOOP_LAG_INTERVAL_S = 0.02
MAX_RETRIES = 2


class Result(NamedTuple):
    """A request of the trace and its result.

    Attributes:
        arrival: The request.
        reply: The reply to the last attempt.
        sent_s: Time of the first attempt, in seconds from the start.
        ended_s: Time when the last reply was complete, in seconds from the start.
        first_token_s: Time from the first attempt to the first token of a stream;
            None without a token.
        gaps_s: Times between consecutive tokens of a stream.
        attempts: Number of attempts.
    """

    arrival: Arrival
    reply: Reply
    sent_s: float
    ended_s: float
    first_token_s: float | None
    gaps_s: Sequence[float]
    attempts: int


class RetryStorm(NamedTuple):
    """Period in which callers retry requests that have an idempotency key.

    A request is retried if it was refused or cut, or if its outcome is unknown.

    Attributes:
        start_s: Start of the period, in seconds from the start of the load.
        end_s: End of the period, in seconds from the start of the load.
    """

    start_s: float = 0.0
    end_s: float = 0.0

    def covers(self, now_s: float) -> bool:
        """Return whether a time lies within the period."""
        return self.start_s <= now_s < self.end_s


NO_RETRY_STORM = RetryStorm()


class LoadReport(NamedTuple):
    """Results of a load, and the load generator's own resource use.

    Attributes:
        results: One result for each request, in the order of the trace.
        seconds: Time from the start to the last reply.
        max_loop_lag_s: Maximum delay of the load generator's event loop.
        cpu_share: Share of one core that the load generator used.
    """

    results: list[Result]
    seconds: float
    max_loop_lag_s: float
    cpu_share: float


class LoadGenerator:
    """Sends the requests of a trace to the entries of a deployment.

    Args:
        session: HTTP session used for all requests.
        deployment: Deployment with the models and pools of the requests.
        urls: Base URLs of the entries, used in turn.
        arrivals: The trace.
        retry_storm: Period in which callers retry.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        deployment: Deployment,
        urls: Sequence[str],
        arrivals: Sequence[Arrival],
        *,
        retry_storm: RetryStorm = NO_RETRY_STORM,
    ) -> None:
        self.session = session
        self.arrivals = arrivals
        self.retry_storm = retry_storm
        self.urls = itertools.cycle(urls)
        self.calls = make_calls(deployment, arrivals)
        self.loop = asyncio.get_running_loop()
        self.started = 0.0
        self.max_loop_lag_s = 0.0

    async def run(self) -> LoadReport:
        """Send every request at its arrival time and wait for all replies."""
        lag_task = asyncio.create_task(self._measure_loop_lag())
        cpu_before = time.process_time()
        self.started = self.loop.time()
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(self._send_until_done(arrival, call))
                    for arrival, call in zip(self.arrivals, self.calls, strict=True)
                ]
        finally:
            lag_task.cancel()
        seconds = self.now_s()
        cpu_s = time.process_time() - cpu_before
        results = [task.result() for task in tasks]
        return LoadReport(results, seconds, self.max_loop_lag_s, cpu_s / seconds)

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return self.loop.time() - self.started

    async def _send_until_done(self, arrival: Arrival, call: Call) -> Result:
        await asyncio.sleep(arrival.at_s - self.now_s())
        sent_s = self.now_s()
        deadline_at_s = sent_s + arrival.deadline_s
        for attempts in itertools.count(1):
            reply = await self._send(arrival, call, deadline_at_s - self.now_s())
            retry_delay_s = self._retry_delay_s(arrival, reply, deadline_at_s, attempts)
            if retry_delay_s is None:
                break
            await asyncio.sleep(retry_delay_s)
        return self._result(arrival, reply, sent_s, attempts)

    def _retry_delay_s(
        self, arrival: Arrival, reply: Reply, deadline_at_s: float, attempts: int
    ) -> float | None:
        is_retryable = reply.outcome in (Outcome.REFUSED, Outcome.CUT, Outcome.UNKNOWN)
        now_s = self.now_s()
        if not (is_retryable and arrival.key and self.retry_storm.covers(now_s)):
            return None
        retry_delay_s = reply.retry_after_s or 0.0
        if attempts > MAX_RETRIES or now_s + retry_delay_s >= deadline_at_s:
            return None
        return retry_delay_s

    def _result(
        self, arrival: Arrival, reply: Reply, sent_s: float, attempts: int
    ) -> Result:
        times = [at - self.started for at in reply.token_times]
        first_token_s = times[0] - sent_s if times else None
        gaps_s = [later - sooner for sooner, later in itertools.pairwise(times)]
        ended_s = self.now_s()
        is_late = ended_s - sent_s > arrival.deadline_s
        if reply.outcome is Outcome.ANSWERED and is_late:
            reply = reply._replace(outcome=Outcome.LATE)
        return Result(arrival, reply, sent_s, ended_s, first_token_s, gaps_s, attempts)

    async def _send(self, arrival: Arrival, call: Call, remaining_s: float) -> Reply:
        timeout = aiohttp.ClientTimeout(total=remaining_s + REPLY_GRACE_S)
        return await send(
            self.session, next(self.urls), arrival, call, remaining_s, timeout=timeout
        )

    async def _measure_loop_lag(self) -> None:
        while True:
            due = self.loop.time() + LOOP_LAG_INTERVAL_S
            await asyncio.sleep(LOOP_LAG_INTERVAL_S)
            self.max_loop_lag_s = max(self.max_loop_lag_s, self.loop.time() - due)
