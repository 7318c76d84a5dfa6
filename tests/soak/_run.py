"""A run of the real daemons under random faults.

`python -m tests.soak --seed 7 --seconds 60` starts one. The same seed draws the
same faults at the same times.
"""

import asyncio
import collections
import signal
import time
from typing import NamedTuple

import aiohttp
from aiohttp import web

from skylarkdoor_bench.testing import free_port
from tests.adapter._standins import HOST, LOOPBACK, Store, config, route, server_row

from ._daemon import Daemon, entry_settings, until_ready
from ._environment import KINDS, Backend, Callers, Observations, new_rng
from ._proxy import Fault, Proxy

ENTRIES = 3
ENGINES = 3
CALLERS = 12
START_S = 15.0
RECOVERY_S = 6.0
DRAIN_S = 4.0
# Time after which a configuration has to be in force.
CONFIG_S = 2.0
RETIRED = "retired"
# Copies of the store that it may come back from.
COPIES = 3
# Limits in requests a second that servers in need name.
LIMITS = (0.5, 1.0, 3.0, 8.0)
# Versions that it gives out again after that.
LOST_VERSIONS = 1000


class Result(NamedTuple):
    """The result of a run.

    Attributes:
        broken: Violated guarantees, each as a message.
        outcomes: Number of calls by status or type of error.
        faults: Injected faults, each with its time in seconds since the start.
        crashes: Number of crashes by the poison request.
    """

    broken: list[str]
    outcomes: dict
    faults: list[str]
    crashes: int


class Soak:
    """One run of the soak test.

    Args:
        seed: Seed of the faults and the load.
        folder: Directory of settings and logs.
    """

    def __init__(self, seed, folder):
        self.rng = new_rng(seed, "faults")
        self.crash_rng = new_rng(seed, "crashes")
        self.need_rng = new_rng(seed, "needs")
        self.drill_rng = new_rng(seed, "drills")
        self.copies = collections.deque(maxlen=COPIES)
        self.config_version = 1
        self.is_retired = False
        self.restarts = set()
        self.seed = seed
        self.folder = folder
        self.observations = Observations()
        self.faults = []
        self.store = Store()
        self.started_at = time.monotonic()

    async def set_up(self):
        """Start the store, servers, proxies and daemons."""
        await self.store.__aenter__()
        self.store.era = 1
        guard_port = free_port()
        self.backends, self.proxies, self.daemons = [], [], []
        for number in range(1, ENGINES + 1):
            rng = new_rng(self.seed, f"server {number}")
            backend = Backend(self.observations, rng, self.crash)
            await backend.server.__aenter__()
            host, port = backend.server.address.split(":")
            # Each engine has its own address, which its guard shares.
            proxy = Proxy(f"127.0.1.{number}", (host, int(port)))
            backend.server.address = await proxy.start()
            self.backends.append(backend)
            self.proxies.append(proxy)
            self.daemons.append(self.guard(number, guard_port, f"{host}:{port}"))
            await self.publish(backend)
        await self.store.put("op", "config", self.config())
        store = self.store.address.split(":")
        self.store_proxies = [Proxy(LOOPBACK, (store[0], int(store[1])))]
        self.urls, self.ready_urls = [], []
        for number in range(1, ENTRIES + 1):
            proxy = Proxy(LOOPBACK, (store[0], int(store[1])))
            address = await proxy.start()
            self.store_proxies.append(proxy)
            self.daemons.append(self.entry(number, guard_port, address))
        for daemon in self.daemons:
            await daemon.start()

    async def publish(self, backend):
        """Write a server's row."""
        backend.sequence += 1
        row = server_row(
            backend.server,
            service="engines",
            slots=4,
            born=backend.born,
            sequence=backend.sequence,
            state="ready" if backend.drained_at is None else "draining",
        )
        number = 1 + self.backends.index(backend)
        await self.store.put("servers", f"i-{number}", row)

    def crash(self, backend):
        """Crash a server, unless it is down, and start it again after a while."""
        if backend.is_down:
            return
        backend.is_down = True
        self.observations.crashes.append(self.observations.clock.now)
        self.record(f"the poison request crashes {backend.server.address}")
        task = asyncio.create_task(self.restart(backend))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def restart(self, backend):
        """Close a server's connections, and accept new ones after a while."""
        proxy = self.proxies[self.backends.index(backend)]
        await proxy.stop()
        down_s = self.crash_rng.choice((0.05, self.crash_rng.uniform(1.0, 2.0)))
        await asyncio.sleep(down_s)
        backend.born += 1
        backend.name_limit(backend.limit)
        await proxy.start(proxy.port)
        backend.is_down = False
        await self.publish(backend)

    def config(self, version=1):
        """Return the operator's configuration, with a route for each request kind."""
        routes = [
            route(
                kind.name,
                service="engines",
                routeType="streaming"
                if kind.is_stream
                else "idempotent"
                if kind.is_idempotent
                else "non_idempotent",
                streamResume=kind.is_stream and kind.is_idempotent,
                maxAttempts=2 if kind.is_idempotent else 1,
                timeoutMs=3000,
                priority=number,
            )
            for number, kind in enumerate(KINDS)
        ]
        if not self.is_retired:
            routes.append(route(RETIRED, service="engines"))
        engines = [{"name": "engines", "runtime": {"slots": 4}}]
        return config(*routes, version=version, services=engines)

    def guard(self, number, port, upstream):
        """Return the guard beside an engine, which polls the engine's load."""
        settings = {
            "instance": f"guard-{number}",
            "data_centre": "north",
            "adapter": "skylarkdoor_platform",
            "store": self.store.address,
            "listen": {
                "peers": f"127.0.1.{number}:{port}",
                "metrics": f"127.0.1.{number}:{free_port()}",
            },
            "guard_port": port,
            "upstream": upstream,
        }
        return Daemon("guard", settings, self.folder)

    def entry(self, number, guard_port, store):
        """Return an entry, which reaches the store through a proxy."""
        settings = entry_settings(f"entry-{number}", store, guard_port=guard_port)
        self.urls.append(f"http://{settings['listen']['callers']}")
        self.ready_urls.append(f"http://{settings['listen']['ready']}/readiness")
        return Daemon("direct-entry", settings, self.folder)

    def record(self, text):
        """Record a fault or event, with the time since the start."""
        self.faults.append(f"{time.monotonic() - self.started_at:6.2f} {text}")

    async def inject_proxy_fault(self):
        """Inject a fault into the connections to a server or to the store."""
        proxy = self.rng.choice(self.proxies + self.store_proxies[1:])
        fault = self.rng.choice([one for one in Fault if one is not Fault.NONE])
        duration_s = self.rng.uniform(0.3, 3.0)
        self.record(f"{fault.value} {proxy.target} for {duration_s:.1f} s")
        proxy.set_fault(fault)
        await asyncio.sleep(duration_s)
        proxy.set_fault(Fault.NONE)

    async def inject_store_fault(self):
        """Let the store refuse all calls for a while and possibly lose its history."""
        duration_s = self.rng.uniform(0.3, 3.0)
        self.store.status = self.rng.choice([503, 429, 500])
        self.record(f"store answers {self.store.status} for {duration_s:.1f} s")
        await asyncio.sleep(duration_s)
        self.store.status = 200
        self.store.is_history_lost = self.rng.random() < 0.5

    async def kill(self):
        """Kill a process and start it again."""
        daemon = self.rng.choice(self.daemons)
        down_s = self.rng.uniform(0.0, 1.5)
        async with daemon.lock:
            self.record(f"kill {daemon.name} for {down_s:.1f} s")
            await daemon.kill()
            await asyncio.sleep(down_s)
            await daemon.start()

    async def stop(self):
        """Stop a process gracefully and start it again."""
        daemon = self.rng.choice(self.daemons)
        async with daemon.lock:
            self.record(f"stop {daemon.name}")
            await daemon.stop(self.observations)
            await daemon.start()

    async def pause(self):
        """Suspend a process for a while."""
        daemon = self.rng.choice(self.daemons)
        duration_s = self.rng.uniform(0.2, 3.0)
        async with daemon.lock:
            self.record(f"pause {daemon.name} for {duration_s:.1f} s")
            daemon.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            daemon.process.send_signal(signal.SIGCONT)

    async def reload(self):
        """Make a process reload its settings."""
        daemon = self.rng.choice(self.daemons)
        async with daemon.lock:
            self.record(f"reload {daemon.name}")
            daemon.process.send_signal(signal.SIGHUP)

    async def change_config(self):
        """Publish a new version of the configuration."""
        self.config_version += 1
        self.record(f"configuration {self.config_version}")
        await self.store.put("op", "config", self.config(self.config_version))

    async def await_entries(self):
        """Require that every entry is ready soon, also one that was just restarted."""
        until = time.monotonic() + CONFIG_S
        for url in self.ready_urls:
            try:
                await until_ready(url, max(0.1, until - time.monotonic()))
            except TimeoutError:
                self.observations.broken.append(
                    f"{url} was not ready {RECOVERY_S + CONFIG_S} s after the faults"
                )

    async def retire_route(self):
        """Remove a route and require that every entry soon applies that."""
        self.is_retired = True
        await self.change_config()
        await asyncio.sleep(CONFIG_S)
        headers = {"Host": HOST, "Attempt-Id": RETIRED, "Deadline-Ms": "500"}
        async with aiohttp.ClientSession() as session:
            for url in self.urls:
                target = f"{url}/{RETIRED}/1"
                try:
                    async with session.get(target, headers=headers) as response:
                        is_known = response.status != web.HTTPNotFound.status_code
                except aiohttp.ClientConnectionError as error:
                    # `check_processes` then tells whether the process has ended.
                    self.observations.broken.append(f"{url} is not up: {error!r}")
                    continue
                if is_known:
                    self.observations.broken.append(
                        f"{url} still has the route {RETIRED}"
                    )

    async def drill_store(self):
        """Let the store come back from older copies, again and again."""
        while True:
            await asyncio.sleep(self.drill_rng.uniform(2.0, 8.0))
            self.copies.append(self.store.copy())
            self.store.version += LOST_VERSIONS
            await self.write_again()
            await asyncio.sleep(self.drill_rng.uniform(0.0, 0.5))
            status, self.store.status = self.store.status, 503
            await asyncio.sleep(self.drill_rng.uniform(0.0, 1.0))
            self.record(f"the store comes back older, era {self.store.era + 1}")
            await self.store.come_back(self.drill_rng.choice(self.copies))
            self.store.status = status
            await asyncio.sleep(self.drill_rng.uniform(0.0, 1.5))
            await self.write_again()

    async def name_limits(self):
        """Let servers be in need, one at a time, and recover."""
        await asyncio.sleep(self.need_rng.uniform(0.0, 5.0))
        self.observations.is_poisonous = True
        while True:
            backend = self.need_rng.choice(self.backends)
            limit = self.need_rng.choice(LIMITS)
            self.record(f"{backend.server.address} names the limit {limit}")
            backend.name_limit(limit)
            await asyncio.sleep(self.need_rng.uniform(5.0, 10.0))
            backend.name_limit(None)
            await asyncio.sleep(self.need_rng.uniform(0.0, 3.0))

    async def end_faults(self, *tasks):
        """Wait for cancelled tasks, and leave servers and store in order."""
        await asyncio.gather(*tasks, return_exceptions=True)
        for backend in self.backends:
            backend.name_limit(None)
        self.store.status = 200
        await self.write_again()

    async def write_again(self):
        """Write what the operator and the servers wrote."""
        await self.store.put("op", "config", self.config(self.config_version))
        for backend in self.backends:
            await self.publish(backend)

    async def inject_faults(self, seconds):
        """Inject faults for this time, some of them concurrently."""
        kinds = [
            self.inject_proxy_fault,
            self.inject_proxy_fault,
            self.inject_store_fault,
            self.kill,
            self.stop,
            self.pause,
            self.reload,
            self.change_config,
        ]
        until = time.monotonic() + seconds
        running = set()
        while time.monotonic() < until:
            running.add(asyncio.create_task(self.rng.choice(kinds)()))
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            done = {task for task in running if task.done()}
            running -= done
            for task in done:
                task.result()
        await asyncio.gather(*running)

    async def run(self, seconds):
        """Execute one run and return its result."""
        await self.set_up()
        ticking = asyncio.create_task(self.observations.clock.run())
        callers = Callers(self.observations, self.urls, new_rng(self.seed, "callers"))
        try:
            await asyncio.sleep(START_S / 5)
            async with callers.running(CALLERS):
                drills = asyncio.create_task(self.drill_store())
                needs = asyncio.create_task(self.name_limits())
                await self.inject_faults(seconds)
                drills.cancel()
                needs.cancel()
                await self.end_faults(needs, drills)
                faults_ended_at = self.observations.clock.now
                await asyncio.sleep(RECOVERY_S)
                if self.observations.clock.now - callers.served_at > 1.0:
                    self.observations.broken.append(
                        "no request was served after the faults"
                    )
                await self.await_entries()
                await self.retire_route()
                await self.drain_server()
            self.check_processes()
            self.observations.check_crashes(faults_ended_at)
        finally:
            ticking.cancel()
            await self.tear_down()
        self.record(
            f"the machine stalled for {self.observations.clock.stalled_s:.1f} s"
        )
        self.observations.check_runs()
        return Result(
            self.observations.broken,
            dict(self.observations.outcomes),
            self.faults,
            len(self.observations.crashes),
        )

    async def drain_server(self):
        """Drain a server and require that it soon gets no new requests.

        The store then comes back from a copy in which the server is ready.
        """
        backend = self.backends[0]
        older = self.store.copy()
        self.record("drain i-1")
        backend.drained_at = self.observations.clock.now + DRAIN_S / 2
        await self.publish(backend)
        await asyncio.sleep(DRAIN_S / 2)
        await self.store.come_back(older)
        await asyncio.sleep(DRAIN_S / 4)
        await self.write_again()
        await asyncio.sleep(DRAIN_S / 4)

    def check_processes(self):
        """Check that no process ended unexpectedly."""
        for daemon in self.daemons:
            status = daemon.process.returncode
            if status is not None:
                self.observations.broken.append(
                    f"{daemon.name} ended unexpectedly with status {status}"
                )

    async def tear_down(self):
        """Stop everything that was started."""
        for task in list(self.restarts):
            task.cancel()
        for daemon in self.daemons:
            await daemon.kill()
        for proxy in (*self.proxies, *self.store_proxies[1:]):
            await proxy.stop()
        for backend in self.backends:
            await backend.server.__aexit__()
        await self.store.__aexit__()
