"""One process of the daemon, started, stopped and killed by the soak test."""

import asyncio
import contextlib
import json
import re
import signal
import sys
from pathlib import Path

import aiohttp
from aiohttp import web

from skylarkdoor_bench.testing import free_port

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 8.0
INTERPRETER_TIMEOUT_S = 10.0
POLL_S = 0.005
READY_POLL_S = 0.05


def entry_settings(instance, store, *, guard_port):
    """Return the settings of an entry.

    Args:
        instance: Its name.
        store: Address at which it reaches the store.
        guard_port: Port of the guards.
    """
    return {
        "instance": instance,
        "data_centre": "north",
        "adapter": "skylarkdoor_platform",
        "store": store,
        "listen": {
            name: f"{LOOPBACK}:{free_port()}"
            for name in ("peers", "metrics", "callers", "ready")
        },
        "guard_port": guard_port,
        "first_start": True,
        "shutdown_timeout_s": 7.0,
    }


async def until_ready(url, timeout_s=START_TIMEOUT_S):
    """Wait until an entry accepts callers.

    Args:
        url: Its readiness address.
        timeout_s: Longest time to wait, in seconds.

    Raises:
        TimeoutError: It takes too long.
    """
    async with aiohttp.ClientSession() as session, asyncio.timeout(timeout_s):
        while not await is_ready(session, url):
            await asyncio.sleep(READY_POLL_S)


async def is_ready(session, url):
    """Return whether an entry accepts callers."""
    with contextlib.suppress(aiohttp.ClientError):
        async with session.get(url) as response:
            return response.status == web.HTTPOk.status_code
    return False


class Daemon:
    """One process of `skylarkdoord`.

    Args:
        role: Subcommand of `skylarkdoord`.
        settings: Its settings, as a document.
        folder: Directory of its settings file and log.
        program: Arguments of Python that run `skylarkdoord`.
    """

    def __init__(self, role, settings, folder, *, program=("-m", "skylarkdoord")):
        self.role = role
        self.program = program
        self.name = settings["instance"]
        self.path = folder / f"{self.name}.json"
        self.path.write_text(json.dumps(settings))
        self.log = folder / f"{self.name}.log"
        self.process = None
        self.lock = asyncio.Lock()

    async def start(self):
        """Start the process and wait until it handles SIGTERM."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.program,
                self.role,
                "--settings",
                str(self.path),
                stdout=log,
                stderr=log,
            )
        # Until Python has installed its handlers, a signal would end the process.
        async with asyncio.timeout(INTERPRETER_TIMEOUT_S):
            while not self.has_handler(signal.SIGTERM):
                await asyncio.sleep(POLL_S)

    def has_handler(self, number):
        """Return whether the process has a handler for a signal, or has ended."""
        if self.process.returncode is not None:
            return True
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (caught,) = re.findall(r"^SigCgt:\s*([0-9a-f]+)$", status, re.MULTILINE)
        return bool(int(caught, 16) >> (number - 1) & 1)

    async def kill(self):
        """Kill the process."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def stop(self, observations):
        """Stop the process gracefully and record a violation if it fails."""
        self.process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                status = await self.process.wait()
        except TimeoutError:
            observations.broken.append(
                f"{self.name} did not stop in {STOP_TIMEOUT_S} s"
            )
            await self.kill()
        else:
            if status:
                observations.broken.append(f"{self.name} stopped with status {status}")
