"""An entry of a run in which the configuration changes, with its links."""

from pathlib import Path

from skylarkdoor_bench.testing import free_port

from ._config_links import LinkProxy
from ._daemon import Daemon, entry_settings

DATA_CENTRES = ("north", "south", "west")
ROUTED_DAEMON = Path(__file__).with_name("_routed_daemon.py")


class EntryNode:
    """An entry with its links.

    Args:
        number: Number of the entry, from 1.
        folder: Directory of its settings and log.

    Attributes:
        links: Proxies of the other data centres' streams to it, by data centre.
        port: The store's port that serves it.
    """

    def __init__(self, number, folder):
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.name = f"{self.data_centre}-{number}"
        self.host = f"127.1.{number % len(DATA_CENTRES)}.{number}"
        self.folder = folder
        self.peers = f"{self.host}:{free_port()}"
        self.links = {}

    async def set_up(self, store, guard_port, changes):
        """Open the entry's links and prepare its process, with changed settings."""
        for data_centre in DATA_CENTRES:
            if data_centre != self.data_centre:
                self.links[data_centre] = LinkProxy(self.peers)
        self.port, address = await store.listen()
        settings = entry_settings(self.name, address, guard_port=guard_port)
        settings |= changes
        settings["data_centre"] = self.data_centre
        settings["listen"] = {
            "peers": self.peers,
            **{
                name: f"{self.host}:{free_port()}"
                for name in ("metrics", "callers", "ready")
            },
        }
        self.url = f"http://{settings['listen']['callers']}"
        self.metrics_url = f"http://{settings['listen']['metrics']}/metrics"
        program = ("-P", str(ROUTED_DAEMON), str(self.folder / self.data_centre))
        self.daemon = Daemon("direct-entry", settings, self.folder, program=program)

    async def listen(self):
        """Start the proxies; return their addresses by data centre."""
        return {name: await link.start() for name, link in self.links.items()}
