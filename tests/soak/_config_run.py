"""A run of entries in three data centres while the configuration changes.

`python -m tests.soak.config --seed 7 --seconds 120 --entries 30` starts one. The same
seed draws the same faults.
"""

import asyncio
import contextlib
import json
import os
import re
import sys
import time
from collections import Counter
from typing import NamedTuple

import aiohttp

from skylarkdoor_bench.testing import free_port
from tests.adapter._standins import (
    HOST,
    LOOPBACK,
    Server,
    config,
    route,
    server_row,
    signed,
)

from ._config_faults import ConfigFaults
from ._config_links import SharedStore
from ._config_node import DATA_CENTRES, EntryNode
from ._config_rules import ConfigRules, Impairment, Kind, Run
from ._environment import MachineClock

SERVICES = ("even", "odd")
SLOTS = 200
LOAD_SLOTS = 5000
MAX_BODY_BYTES = 4 * 1024 * 1024
# Interval of the versions of the configuration, each of which moves the route.
CHANGE_INTERVAL_S = 2.0
# The timeout of the route in a version's configuration tells a server the version,
# as entries pass on what is left of it.
BASE_TIMEOUT_MS = 30_000
TIMEOUT_STEP_MS = 10_000
PROBE_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 2.0
# Time limit of the most patient callers of a deployment.
LOADED_PROBE_TIMEOUT_S = 15.0
START_TIMEOUT_S = 60.0
CONCURRENT_STARTS = 6
# Time after the last fault during which the rules are still judged.
RECOVERY_S = 10.0
# Settings of the entries of a loaded run, as the deployment has them.
LOADED_SETTINGS = {"memory": {"process_mb": 136}, "serves_late": True}
LOOP_LAG = re.compile(r"^skylarkdoor_event_loop_lag_seconds (\S+)$", re.MULTILINE)
LAG_INTERVAL_S = 1.0
LIVE_ENTRIES = re.compile(r"^skylarkdoor_direct_entries (\S+)$", re.MULTILINE)
DENIALS = (401, 403, 404)


class ConfigResult(NamedTuple):
    """The result of a run.

    Attributes:
        broken: Violated guarantees, each as a message.
        faults: Injected faults, each with its times in seconds since the start.
        outcomes: Number of probes by status or type of error.
        runs: Number of requests that ran.
        blind_s: Times from the end of faults until each entry concerned used the
            version that was the newest then, in seconds, with its name.
        blind: Names of the entries that did not use it until the end.
        calls: Calls to the store in a second, by path and table.
        stalled_s: Time for which the machine stalled, in seconds.
        lags_s: Lags of the entries' event loops under load, in seconds.
    """

    broken: list[str]
    faults: list[str]
    outcomes: Counter
    runs: int
    blind_s: list[tuple[float, str]]
    blind: list[str]
    calls: dict[str, float]
    stalled_s: float
    lags_s: list[float]


class ConfigSoak:
    """One run.

    Args:
        seed: Seed of the faults.
        folder: Directory of settings and logs.
        entries: Number of entries.
        faults: Names of the faults to draw from; all if empty.
        interval_s: Interval of the versions of the configuration, in seconds.
        rate: Requests a second that callers send each entry beside the probes.
        processors: Numbers of the processors on which the entries run; all if empty.
    """

    def __init__(
        self,
        seed,
        folder,
        *,
        entries,
        faults=(),
        interval_s=CHANGE_INTERVAL_S,
        rate=0.0,
        processors=(),
    ):
        self.rate = rate
        self.processors = processors
        self.lags_s = []
        self.load_port = free_port()
        self.interval_s = interval_s
        self.folder = folder
        self.nodes = [EntryNode(number, folder) for number in range(1, entries + 1)]
        self.clock = MachineClock()
        self.rules = ConfigRules()
        self.store = SharedStore()
        self.version = 0
        self.is_writing = True
        self.runs = 0
        self.sent = {}
        self.broken = []
        self.outcomes = Counter()
        self.faults = ConfigFaults(self, seed, faults)

    @contextlib.asynccontextmanager
    async def held(self, nodes):
        """Let no other fault touch the processes of entries within the context."""
        async with contextlib.AsyncExitStack() as stack:
            for node in sorted(nodes, key=lambda node: node.name):
                await stack.enter_async_context(node.daemon.lock)
                self.check_process(node)
            yield

    @contextlib.contextmanager
    def impaired(self, kind, text, nodes):
        """Impair entries within the context, as far as the rules know."""
        entries = frozenset(node.name for node in nodes)
        impairment = Impairment(kind, text, entries, self.clock.now)
        self.rules.impairments.append(impairment)
        try:
            yield
        finally:
            impairment.end = self.clock.now
            self.rules.heal(entries, self.clock.now)

    def check_process(self, node):
        """Check that a process that should run hasn't ended."""
        status = node.daemon.process.returncode
        if status is not None:
            self.broken.append(f"{node.name} ended by itself with status {status}")

    async def start(self, nodes):
        """Start processes, a few at a time."""
        starts = asyncio.Semaphore(CONCURRENT_STARTS)

        async def start(node):
            async with starts:
                self.rules.start_process(node.name)
                await node.daemon.start()
                if self.processors:
                    os.sched_setaffinity(node.daemon.process.pid, self.processors)

        await asyncio.gather(*(start(node) for node in nodes))

    async def change_config(self):
        """Write the next version, which moves the route to the other service."""
        self.version = version = self.version + 1
        desk = route(
            service=SERVICES[version % len(SERVICES)],
            timeoutMs=BASE_TIMEOUT_MS + version * TIMEOUT_STEP_MS,
        )
        draft = route(
            "draft", service="draft", routeType="streaming", targetLatencyMs=500
        )
        services = [{"name": name} for name in (*SERVICES, "draft")]
        content = config(
            desk,
            draft,
            version=version,
            services=services,
            limits={"maxBodyBytes": MAX_BODY_BYTES},
        )
        await self.store.put("op", "config", content)
        self.rules.acknowledged[version] = self.clock.now

    async def operate(self):
        """Write new versions until cancelled."""
        while True:
            if self.is_writing:
                await self.change_config()
            await asyncio.sleep(self.interval_s)

    def script(self, service):
        """Return the script of a service's server."""

        async def answer(request, writer):
            if attempt := request.header("Attempt-Id"):
                self.record_run(service, attempt[0], request.header("Deadline-Ms")[0])
                writer.write(signed(request, "Content-Length: 0", "Connection: close"))
            else:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()

        return answer

    def record_run(self, service, attempt, deadline_ms):
        """Judge a request that runs at a server."""
        entry, sent_at = self.sent[attempt]
        # The version is the next higher one of this service.
        least = (int(deadline_ms) - BASE_TIMEOUT_MS) / TIMEOUT_STEP_MS
        parity = SERVICES.index(service)
        version = min(
            number
            for number in range(1, self.version + 1)
            if number >= least and number % len(SERVICES) == parity
        )
        self.runs += 1
        self.rules.judge(Run(entry, version, sent_at, self.clock.now))

    async def probe(self, session, node):
        """Send requests to an entry until cancelled; under load, several at once."""
        count = 0
        async with asyncio.TaskGroup() as tasks:
            while True:
                count += 1
                sending = self.send(session, node, f"{node.name}-{count}")
                if self.rate:
                    tasks.create_task(sending)
                else:
                    await sending
                await asyncio.sleep(PROBE_INTERVAL_S)

    async def send(self, session, node, attempt):
        """Send one request to an entry; return whether it was answered with 200."""
        sent_at = self.clock.now
        self.sent[attempt] = node.name, sent_at
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "9000000"}
        try:
            async with session.get(f"{node.url}/desk/1", headers=headers) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.outcomes[type(error).__name__] += 1
            return False
        self.outcomes[response.status] += 1
        if response.status in DENIALS and "Server-Signature" not in response.headers:
            self.rules.judge_refusal(node.name, response.status, sent_at)
        return response.status == 200

    async def set_up_load(self, resources):
        """Start callers at the load of a deployment, and their server."""
        server = Server(None)
        server.address = f"{LOOPBACK}:{self.load_port}"
        server.slots = LOAD_SLOTS
        row = server_row(server, service="draft", zone=DATA_CENTRES[0])
        await self.store.put("servers", "i-load", row)
        addresses = [node.url.removeprefix("http://") for node in self.nodes]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.soak._config_callers",
            str(self.load_port),
            str(self.rate),
            *addresses,
        )
        resources.push_async_callback(process.wait)
        resources.callback(process.kill)

    async def record_lags(self, session):
        """Record the lags of the entries' loops until cancelled."""
        while True:
            await asyncio.sleep(LAG_INTERVAL_S)
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                node = self.nodes[len(self.lags_s) % len(self.nodes)]
                async with session.get(node.metrics_url) as response:
                    text = await response.text()
                self.lags_s += [float(lag) for lag in LOOP_LAG.findall(text)]

    async def set_up(self, resources):
        """Start the store, servers, proxies and entries."""
        await resources.enter_async_context(self.store)
        _, self.operator_address = await self.store.listen()
        for number, service in enumerate(SERVICES):
            server = Server(self.script(service))
            server.slots = SLOTS
            await resources.enter_async_context(server)
            row = server_row(server, service=service, zone=DATA_CENTRES[0])
            await self.store.put("servers", f"i-{number}", row)
        await self.change_config()
        guard_port = free_port()
        proxies = {name: {} for name in DATA_CENTRES}
        for node in self.nodes:
            changes = LOADED_SETTINGS if self.rate else {}
            await node.set_up(self.store, guard_port, changes)
            for name, address in (await node.listen()).items():
                proxies[name][node.peers] = address
                resources.push_async_callback(node.links[name].stop)
        for name, addresses in proxies.items():
            (self.folder / name).write_text(json.dumps(addresses))
        for node in self.nodes:
            resources.push_async_callback(self.end, node)
        everything = "start of the deployment"
        with self.impaired(Kind.ENTRY, everything, self.nodes):
            await self.start(self.nodes)
            await self.wait_until_serving()

    async def wait_until_serving(self):
        """Wait until every entry serves requests."""
        async with asyncio.timeout(START_TIMEOUT_S), self.session() as session:
            for node in self.nodes:
                count = 0
                while not await self.send(session, node, f"{node.name}-first-{count}"):
                    count += 1
                    await asyncio.sleep(PROBE_INTERVAL_S)
        self.outcomes.clear()

    def session(self):
        """Return a session of the callers."""
        return aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(
                total=LOADED_PROBE_TIMEOUT_S if self.rate else PROBE_TIMEOUT_S
            ),
            connector=aiohttp.TCPConnector(limit=0),
        )

    async def end(self, node):
        """Kill an entry's process if it runs."""
        if node.daemon.process is not None:
            await node.daemon.kill()

    async def run(self, seconds, *, recovery_s=RECOVERY_S):
        """Execute one run and return its result.

        Args:
            seconds: Time during which faults are injected.
            recovery_s: Time after them during which the rules are judged.
        """
        async with contextlib.AsyncExitStack() as resources:
            tasks = [asyncio.create_task(self.clock.run())]
            resources.push_async_callback(_end_tasks, tasks)
            await self.set_up(resources)
            self.rules.waiting.clear()
            session = await resources.enter_async_context(self.session())
            tasks.append(asyncio.create_task(self.operate()))
            if self.rate:
                await self.set_up_load(resources)
                tasks.append(asyncio.create_task(self.record_lags(session)))
            tasks += [
                asyncio.create_task(self.probe(session, node)) for node in self.nodes
            ]
            self.store.counts.clear()
            started_at = time.monotonic()
            await self.faults.inject(seconds)
            await asyncio.sleep(recovery_s)
            duration_s = time.monotonic() - started_at
            calls = {
                name: count / duration_s for name, count in self.store.counts.items()
            }
            for node in self.nodes:
                self.check_process(node)
            await asyncio.gather(
                *(self.check_streams(session, node) for node in self.nodes)
            )
            for task in tasks:
                if task.done():
                    task.result()
            await _end_tasks(tasks)
        self.check_logs()
        violations = [str(one) for one in self.rules.violations.values()]
        return ConfigResult(
            self.broken + violations,
            [str(one) for one in self.rules.impairments],
            self.outcomes,
            self.runs,
            self.rules.blind_s,
            sorted(self.rules.waiting),
            calls,
            self.clock.stalled_s,
            sorted(self.lags_s),
        )

    async def check_streams(self, session, node):
        """Check that an entry hears all others after the faults."""
        try:
            async with session.get(node.metrics_url) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            self.broken.append(f"{node.name} tells no metrics: {error!r}")
            return
        (live,) = LIVE_ENTRIES.findall(text)
        if float(live) != len(self.nodes):
            self.broken.append(f"{node.name} hears {live} of {len(self.nodes)} entries")

    def check_logs(self):
        """Check that the processes printed nothing but their log lines."""
        for node in self.nodes:
            bare = [
                line
                for line in node.daemon.log.read_text(errors="replace").splitlines()
                if line and not line.startswith("{")
            ]
            if bare:
                self.broken.append(
                    f"{node.name} printed {len(bare)} bare lines, the last {bare[-1]!r}"
                )


async def _end_tasks(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
