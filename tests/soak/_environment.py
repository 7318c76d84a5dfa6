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
        broken: Violated guarantees, each as a message.
        clock: Clock for the time limits that are checked.
    """

    def __init__(self):
        self.clock = MachineClock()
        self.runs = Counter()
        self.outcomes = Counter()
        self.crashes = []
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
        self.running = 0
        self.server = Server(self.handle)

    async def handle(self, request, writer):
        """Run one request, or report the load."""
        if request.target == REPORT_PATH:
            load = to_json({"running": self.running, "waiting": 0})
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(load)}\r\n\r\n"
            writer.write(head.encode() + load)
            await writer.drain()
            return
        self.running += 1
        try:
            await self.run(request, writer)
        finally:
            self.running -= 1

    async def run(self, request, writer):
        """Run one request."""
        (call,) = request.header("Attempt-Id")
        if request.target == POISON_TARGET:
            self.crash(self)
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
        body = f"answer to {call}".encode()
        writer.write(signed(request, f"Content-Length: {len(body)}") + body)
        await writer.drain()

    async def stream(self, request, writer):
        """Send the events after the last one that the caller has received."""
        last = int((request.header("Last-Event-Id") or ["0"])[0])
        fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(signed(request, *fields))
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
