"""Faults of runs in which the configuration changes."""

import asyncio
import math
import signal

from ._config_links import AWAY, Refusal
from ._config_node import DATA_CENTRES
from ._config_rules import Kind
from ._environment import TICK_INTERVAL_S, new_rng

CALM_S = 10.0
# Probability that a fault begins before the one before has ended.
OVERLAP = 0.3
# Time before a version is due.
LEAD_S = 0.3
# Signals of a series; SIGTERM may come several times.
SERIES = (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM)


class ConfigFaults:
    """Draws faults and injects them.

    Args:
        soak: The run.
        seed: Seed of the draws.
        names: Names of the faults to draw from; all if empty.
    """

    def __init__(self, soak, seed, names=()):
        self.soak = soak
        self.nodes = soak.nodes
        self.rng = new_rng(seed, "config")
        self.kinds = {
            "turn_away": self.turn_away,
            "part": self.part,
            "part_streams": self.part_streams,
            "part_store": self.part_store,
            "kill": self.kill,
            "stop": self.stop,
            "pause": self.pause,
            "compact": self.compact,
            "outage": self.outage,
            "copy": self.copy,
            "lose_answers": self.lose_answers,
            "part_in_turn": self.part_in_turn,
            "calm": self.calm,
            "slow": self.slow,
            "busy": self.busy,
            "signals": self.signals,
        }
        self.drawn = [self.kinds[name] for name in names or self.kinds]

    async def calm(self):
        """Impair nothing for a while, to measure what goes on then."""
        await asyncio.sleep(CALM_S)

    def some_nodes(self):
        """Draw the entries of a data centre, or any."""
        if self.rng.random() < 0.5:
            return self.data_centre_nodes()
        return self.rng.sample(self.nodes, self.rng.randint(1, len(self.nodes) - 1))

    def data_centre_nodes(self):
        """Draw a data centre and return its entries."""
        data_centre = self.rng.choice(DATA_CENTRES)
        return [node for node in self.nodes if node.data_centre == data_centre]

    async def turn_away(self):
        """Let the store turn some entries away."""
        nodes = self.some_nodes()
        refusal = self.rng.choice(AWAY)
        text = f"store turns {_names(nodes)} away ({refusal.value})"
        with self.soak.impaired(Kind.UNSTABLE, text, nodes):
            await self.refuse(nodes, refusal, self.rng.uniform(1.0, 9.0))

    async def refuse(self, nodes, refusal, duration_s):
        """Let the store turn entries away for a time."""
        for node in nodes:
            node.port.refuse(refusal)
        await asyncio.sleep(duration_s)
        for node in nodes:
            node.port.refuse(Refusal.NONE)

    async def part(self):
        """Part a data centre from the others and from the store."""
        nodes = self.data_centre_nodes()
        duration_s = self.rng.uniform(1.0, 8.0)
        text = f"{nodes[0].data_centre} is cut off"
        with self.soak.impaired(Kind.ENTRY, text, nodes):
            await asyncio.gather(
                self.refuse(nodes, Refusal.SILENT, duration_s),
                self.cut(nodes[0].data_centre, duration_s),
            )

    async def part_streams(self):
        """Part a data centre from the others."""
        nodes = self.data_centre_nodes()
        text = f"{nodes[0].data_centre} is parted from the others"
        with self.soak.impaired(Kind.ENTRY, text, nodes):
            await self.cut(nodes[0].data_centre, self.rng.uniform(1.0, 8.0))

    async def part_store(self):
        """Part some entries from the store."""
        nodes = self.some_nodes()
        with self.soak.impaired(Kind.ENTRY, f"{_names(nodes)} without store", nodes):
            await self.refuse(nodes, Refusal.SILENT, self.rng.uniform(1.0, 8.0))

    async def lose_answers(self):
        """Lose the answers of the store for a while, when a version is due."""
        await self.wait_for_version()
        await asyncio.sleep(self.soak.interval_s - LEAD_S)
        with self.soak.impaired(Kind.DOWN, "answers of the store lost", self.nodes):
            duration_s = self.rng.uniform(2 * LEAD_S, 3.0)
            await self.refuse(self.nodes, Refusal.LOST, duration_s)

    async def part_in_turn(self):
        """Part a data centre from the store, and then the others from everything."""
        nodes = self.data_centre_nodes()
        name = nodes[0].data_centre
        others = [node for node in self.nodes if node.data_centre != name]
        await self.wait_for_version()
        with self.soak.impaired(Kind.ENTRY, f"{name} without store", nodes):
            await self.refuse(nodes, Refusal.SILENT, self.rng.uniform(0.5, 2.0))
        with self.soak.impaired(Kind.ENTRY, f"all but {name} cut off", others):
            duration_s = self.rng.uniform(6.0, 9.0)
            await asyncio.gather(
                self.refuse(others, Refusal.SILENT, duration_s),
                self.cut(name, duration_s),
            )

    async def wait_for_version(self):
        """Wait until the store has acknowledged another version."""
        version = max(self.soak.rules.acknowledged)
        while max(self.soak.rules.acknowledged) == version:
            await asyncio.sleep(TICK_INTERVAL_S)

    async def cut(self, data_centre, duration_s):
        """Cut the links between a data centre and the others for a time."""
        links = [
            link
            for node in self.nodes
            for name, link in node.links.items()
            if data_centre in (name, node.data_centre)
        ]
        for link in links:
            link.cut()
        await asyncio.sleep(duration_s)
        for link in links:
            link.mend()

    async def kill(self):
        """Kill some entries and start them again."""
        nodes = self.few_nodes()
        with self.soak.impaired(Kind.ENTRY, f"{_names(nodes)} killed", nodes):
            async with self.soak.held(nodes):
                for node in nodes:
                    await node.daemon.kill()
                await asyncio.sleep(self.rng.uniform(0.0, 2.0))
                await self.soak.start(nodes)

    async def stop(self):
        """Stop some entries gracefully and start them again."""
        nodes = self.few_nodes()
        with self.soak.impaired(Kind.ENTRY, f"{_names(nodes)} stopped", nodes):
            async with self.soak.held(nodes):
                await asyncio.gather(*(node.daemon.stop(self.soak) for node in nodes))
                await self.soak.start(nodes)

    async def pause(self):
        """Suspend some entries for a while."""
        nodes = self.some_nodes()
        with self.soak.impaired(Kind.ENTRY, f"{_names(nodes)} paused", nodes):
            async with self.soak.held(nodes):
                for node in nodes:
                    node.daemon.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.5, 6.0))
                for node in nodes:
                    node.daemon.process.send_signal(signal.SIGCONT)

    async def slow(self):
        """Let the store answer late."""
        delay_s = self.rng.uniform(0.2, 2.0)
        text = f"store slow by {delay_s:.1f} s"
        with self.soak.impaired(Kind.DOWN, text, self.nodes):
            self.soak.store.delay_s = delay_s
            await asyncio.sleep(self.rng.uniform(2.0, 8.0))
            self.soak.store.delay_s = 0.0

    async def busy(self):
        """Let the store serve few calls in a second."""
        max_calls = self.rng.randint(1, 4)
        text = f"store serves {max_calls} calls a second"
        with self.soak.impaired(Kind.UNSTABLE, text, self.nodes):
            self.soak.store.max_calls = max_calls
            await asyncio.sleep(self.rng.uniform(2.0, 9.0))
            self.soak.store.max_calls = math.inf

    async def signals(self):
        """Send some entries a series of signals, the last of which ends them."""
        nodes = self.few_nodes()
        with self.soak.impaired(Kind.ENTRY, f"{_names(nodes)} signalled", nodes):
            async with self.soak.held(nodes):
                await asyncio.gather(*(self.signal(node) for node in nodes))

    async def signal(self, node):
        """Send one entry a series of signals, then start it again."""
        for number in self.rng.choices(SERIES, k=self.rng.randint(2, 5)):
            if node.daemon.process.returncode is None:
                node.daemon.process.send_signal(number)
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        await asyncio.sleep(self.rng.uniform(0.0, 4.0))
        await node.daemon.kill()
        await self.soak.start([node])

    async def compact(self):
        """Let the store drop its history again and again."""
        with self.soak.impaired(Kind.UNSTABLE, "history dropped", self.nodes):
            self.soak.store.is_compacted = True
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            self.soak.store.is_compacted = False

    async def outage(self):
        """Let the store refuse all calls."""
        with self.soak.impaired(Kind.DOWN, "store down", self.nodes):
            self.soak.store.status = 503
            await asyncio.sleep(self.rng.uniform(0.5, 6.0))
            self.soak.store.status = 200

    async def copy(self):
        """Let the store come back from an older copy; the operator writes later."""
        older = self.soak.store.copy()
        await asyncio.sleep(self.rng.uniform(0.5, 2.5 * self.soak.interval_s))
        with self.soak.impaired(Kind.DOWN, "store from an older copy", self.nodes):
            self.soak.is_writing = False
            await self.soak.store.come_back(older)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            self.soak.is_writing = True
            await self.soak.change_config()

    def few_nodes(self):
        """Draw up to a third of the entries."""
        return self.rng.sample(self.nodes, self.rng.randint(1, len(self.nodes) // 3))

    async def inject(self, seconds):
        """Inject at least one fault, and more for this time, at times two at once."""
        until = self.soak.clock.now + seconds
        running = [asyncio.create_task(self.rng.choice(self.drawn)())]
        while self.soak.clock.now < until:
            if self.rng.random() < OVERLAP:
                await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            else:
                await asyncio.gather(*running)
                await asyncio.sleep(self.rng.uniform(0.0, 12.0))
            running.append(asyncio.create_task(self.rng.choice(self.drawn)()))
        await asyncio.gather(*running)


def _names(nodes):
    return ",".join(sorted(node.name for node in nodes))
