"""The environment of the daemons: servers, callers and their observations."""

import asyncio
import contextlib
import random
import time
from collections import Counter
from typing import NamedTuple

import aiohttp

from tests.adapter._standins import HOST, Server, chunk, event, signed, to_json

CALL_TIMEOUT_S = 4.0
EVENTS = 8
REPORT_PATH = "/report"
EVENT_INTERVAL_S = 0.03
TICK_INTERVAL_S = 0.02
POISON_TARGET = "/lookup/poison"
POISON_INTERVAL_S = 0.5
# Crashes by one request after which it is refused, the time within which all entries
# know of them, and the crashes after that time which faults excuse.
MAX_CRASHES = 3
KNOWN_WITHIN_S = 3.0
MAX_LATE_CRASHES = 3
# Time after which a named limit binds, the windows in which it is checked, and what is
# accepted in each, as a multiple of the limit and a number of requests.
LIMIT_KNOWN_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK = 5
# The time by which a tick exceeds this counts as a stall of the machine.
MAX_TICK_S = 0.2


class RequestKind(NamedTuple):
    """A kind of request.

    Attributes:
        name: First segment of its path.
        is_stream: Whether the response is a stream.
        is_idempotent: Whether a request may run more than once.
    """

    name: str
    is_stream: bool
    is_idempotent: bool


KINDS = (
    RequestKind("lookup", False, True),
    RequestKind("booking", False, False),
    RequestKind("notes", True, True),
    RequestKind("plan", True, False),
)
KINDS_BY_NAME = {kind.name: kind for kind in KINDS}


class MachineClock:
    """Counts the time during which this machine ran, in seconds.

    A busy virtual machine can stall as a whole for seconds. Time limits are only
    guaranteed while the machine runs.

    Attributes:
        now: Time counted so far.
        stalled_s: Time not counted because the machine stalled.
    """

    def __init__(self):
        self.now = 0.0
        self.stalled_s = 0.0

    async def run(self):
        """Count until cancelled."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = time.monotonic()
            counted = min(now - before, MAX_TICK_S)
            self.now += counted
            self.stalled_s += now - before - counted
            before = now


class Observations:
    """Observations of the servers and callers, and the violations found.

    Attributes:
        runs: Number of runs of each request.
        outcomes: Number of calls by status or type of error.
        crashes: Times at which the poison request crashed a server.
        not_run: Requests that were reported as not run.
        is_poisonous: Whether the poison request crashes servers yet.
        broken: Violated guarantees, each as a message.
        clock: Clock for the time limits that are checked.
    """

    def __init__(self):
        self.clock = MachineClock()
        self.runs = Counter()
        self.outcomes = Counter()
        self.crashes = []
        self.is_poisonous = False
        self.not_run = set()
        self.broken = []

    def check_crashes(self, faults_ended_at):
        """Check that the poison request crashed no server once it was quarantined."""
        if len(self.crashes) < MAX_CRASHES:
            return
        known_at = self.crashes[MAX_CRASHES - 1] + KNOWN_WITHIN_S
        late = [at for at in self.crashes if at > known_at]
        unexcused = [at for at in late if at > faults_ended_at + KNOWN_WITHIN_S]
        if len(late) > MAX_LATE_CRASHES or unexcused:
            self.broken.append(f"the poison request crashed servers at {self.crashes}")

    def check_runs(self):
        """Check, after a run, that requests reported as not run were not run."""
        for call in self.not_run:
            if self.runs[call] and not KINDS_BY_NAME[call.split("-")[0]].is_idempotent:
                self.broken.append(f"{call} was reported as not run, but ran")


class Backend:
    """A server of the platform that counts the requests it runs.

    Args:
        observations: Where runs and violations are recorded.
        rng: Source of the random run times.
        crash: Called with this server when it runs the poison request.
    """

    def __init__(self, observations, rng, crash):
        self.observations = observations
        self.rng = rng
        self.crash = crash
        self.born = 1
        self.sequence = 0
        self.is_down = False
        self.drained_at = None
        self.limit = None
        self.named_at = None
        self.arrivals = []
        self.running = 0
        self.server = Server(self.handle)

    async def handle(self, request, writer):
        """Run one request, or report the load."""
        if request.target == REPORT_PATH:
            fields = {"running": self.running, "waiting": 0, "born": self.born}
            load = to_json(fields)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(load)}\r\n\r\n"
            writer.write(head.encode() + load)
            await writer.drain()
            return
        self.running += 1
        try:
            await self.run(request, writer)
        finally:
            self.running -= 1

    def name_limit(self, limit):
        """Name a limit in all answers from now on; None for none.

        It binds the entries from the first such answer of this incarnation.
        """
        self.limit = limit
        self.named_at = None
        self.arrivals.clear()

    def head(self, request, *fields):
        """Return the head of a response, with the limit if there is one."""
        if self.limit is not None:
            if self.named_at is None:
                self.named_at = self.observations.clock.now
            fields = (*fields, f"Server-Limit: {self.limit}")
        return signed(request, *fields)

    def check_limit(self):
        """Count a request, and check those of the last seconds against the limit."""
        now = self.observations.clock.now
        if self.named_at is None or now < self.named_at + LIMIT_KNOWN_S:
            return
        self.arrivals.append(now)
        recent = sum(at > now - LIMIT_WINDOW_S for at in self.arrivals)
        allowed = LIMIT_TOLERANCE * LIMIT_WINDOW_S * self.limit + LIMIT_SLACK
        if recent > allowed:
            self.observations.broken.append(
                f"{recent} requests in {LIMIT_WINDOW_S} s at a limit of {self.limit}"
            )

    async def run(self, request, writer):
        """Run one request."""
        (call,) = request.header("Attempt-Id")
        self.check_limit()
        if request.target == POISON_TARGET:
            if self.observations.is_poisonous:
                self.crash(self)
                return
            await self.answer(request, writer, call)
            return
        kind = KINDS_BY_NAME[request.target.split("/")[1]]
        if (
            self.drained_at is not None
            and self.observations.clock.now > self.drained_at
        ):
            self.observations.broken.append(f"{call} reached a drained server")
        if request.target != f"/{kind.name}/{call}" or request.header("Retain"):
            self.observations.broken.append(f"{call} was modified in transit")
        self.observations.runs[call] += 1
        if self.observations.runs[call] > 1 and not kind.is_idempotent:
            self.observations.broken.append(
                f"{call} ran {self.observations.runs[call]} times"
            )
        if kind.is_stream:
            await self.stream(request, writer)
            return
        await asyncio.sleep(self.rng.uniform(0.0, 0.1))
        await self.answer(request, writer, call)

    async def answer(self, request, writer, call):
        """Send a complete response."""
        body = f"answer to {call}".encode()
        writer.write(self.head(request, f"Content-Length: {len(body)}") + body)
        await writer.drain()

    async def stream(self, request, writer):
        """Send the events after the last one that the caller has received."""
        last = int((request.header("Last-Event-Id") or ["0"])[0])
        fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(self.head(request, *fields))
        for number in range(last + 1, EVENTS + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Callers:
    """Callers that send requests continuously.

    Args:
        observations: Where outcomes and violations are recorded.
        urls: Base URLs of the entries.
        rng: Source of the random load.
    """

    def __init__(self, observations, urls, rng):
        self.observations = observations
        self.urls = urls
        self.rng = rng
        self.served_at = observations.clock.now

    async def run(self, number):
        """Send one request after another until cancelled."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for count in range(1_000_000):
                kind = self.rng.choice(KINDS)
                await self.call(session, kind, f"{kind.name}-{number}-{count}")
                await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def run_poison(self):
        """Send the request that crashes servers until cancelled."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                url = self.rng.choice(self.urls) + POISON_TARGET
                headers = {"Host": HOST, "Attempt-Id": "poison", "Deadline-Ms": "3000"}
                try:
                    async with session.get(url, headers=headers) as response:
                        self.observations.outcomes[f"poison {response.status}"] += 1
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    self.observations.outcomes[f"poison {type(error).__name__}"] += 1
                await asyncio.sleep(POISON_INTERVAL_S)

    async def call(self, session, kind, call):
        """Send one request and check its response."""
        url = f"{self.rng.choice(self.urls)}/{kind.name}/{call}"
        headers = {"Host": HOST, "Attempt-Id": call, "Deadline-Ms": "3000"}
        headers["Retain"] = "forged"
        try:
            async with session.post(url, headers=headers, data=b"x") as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.observations.outcomes[type(error).__name__] += 1
            return
        self.observations.outcomes[response.status] += 1
        if response.status in (429, 503):
            self.observations.not_run.add(call)
        elif response.status == 200:
            self.served_at = self.observations.clock.now
            self.check(kind, call, body, response)

    def check(self, kind, call, body, response):
        """Check that a response is complete and belongs to this call."""
        expected = f"answer to {call}".encode()
        if kind.is_stream:
            expected = b"".join(event(number) for number in range(1, EVENTS + 1))
        if body != expected or response.headers.get("Attempt-Id") != call:
            self.observations.broken.append(f"{call} got {body[:60]!r}")
        if not self.observations.runs[call]:
            self.observations.broken.append(f"{call} got a response without a run")

    @contextlib.asynccontextmanager
    async def running(self, count):
        """Run this many callers in the background."""
        tasks = [asyncio.create_task(self.run(number)) for number in range(count)]
        tasks.append(asyncio.create_task(self.run_poison()))
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            ends = await asyncio.gather(*tasks, return_exceptions=True)
            errors = [end for end in ends if isinstance(end, Exception)]
            if errors:
                raise ExceptionGroup("callers failed", errors)


def new_rng(seed, name):
    """Return an independent random number generator for one part of a run."""
    return random.Random(f"{seed} {name}")
