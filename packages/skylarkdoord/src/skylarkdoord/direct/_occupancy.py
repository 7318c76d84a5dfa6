"""How many of an engine's places are really taken, from its own reports.

Places that were granted say what should run. An entry that lost its power keeps
its grants though nothing runs, an entry that could not reach the guard runs what
was never granted, and a guard that has just started knows of no grants at all.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import aiohttp

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Adapter, EngineLoad
from skylarkdoord.direct.exceptions import RowError

REPORT_INTERVAL_S = 0.2
REPORT_TIMEOUT_S = 0.5
# A granted request reaches the engine within this time.
SETTLE_S = 0.3
# What this many reports in a row agree on is taken for true.
REPORTS = 3


class Sample(NamedTuple):
    """Grants and the engine's report at one moment.

    Attributes:
        granted: Places that are granted.
        settled: Those of them that were granted a while ago.
        in_engine: Requests in the engine, running or waiting.
    """

    granted: int
    settled: int
    in_engine: int


class Report(NamedTuple):
    """What is heard of the engine.

    Attributes:
        load: What it says of itself; None where it says nothing usable.
        is_down: Whether nothing listens at its address.
    """

    load: EngineLoad | None
    is_down: bool = False


class Occupancy:
    """Compares grants with what the engine reports."""

    def __init__(self) -> None:
        self.samples: deque[Sample] = deque(maxlen=REPORTS)

    def note(self, sample: Sample) -> None:
        """Take over a newer report."""
        self.samples.append(sample)

    def forget(self) -> None:
        """Trust the grants alone: the engine does not report."""
        self.samples.clear()

    def correction(self) -> int:
        """Return how many more places are taken than granted; fewer if negative."""
        if not self.samples:
            return 0
        strangers = min(one.in_engine - one.granted for one in self.samples)
        if strangers > 0:
            return strangers
        if len(self.samples) < REPORTS:
            return 0
        unused = min(one.settled - one.in_engine for one in self.samples)
        return -max(0, unused)


class EngineReports:
    """Asks the engine beside this process for its load, again and again.

    Args:
        adapter: Decodes the report.
        address: The engine's `host:port`.
        listener: Called with each report.
    """

    name = "engine_reports"
    requires: tuple[str, ...] = ()

    def __init__(
        self,
        adapter: Adapter,
        address: str,
        listener: Callable[[Report], None],
    ) -> None:
        self.adapter = adapter
        self.url = f"http://{address}{adapter.load_path}"
        self.listener = listener
        self.is_answering = True
        self.has_answered = False
        self.session: aiohttp.ClientSession | None = None
        self.log = events.get_logger("direct.engine_reports")

    async def start(self, kernel: Kernel) -> None:
        """Begin to ask."""
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        )
        kernel.spawn(self.watch(self.session), name="engine_reports.watch")

    async def stop(self) -> None:
        """Close the connection."""
        if self.session is not None:
            await self.session.close()

    async def watch(self, session: aiohttp.ClientSession) -> None:
        """Ask until cancelled."""
        while True:
            self.listener(await self.ask(session))
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def ask(self, session: aiohttp.ClientSession) -> Report:
        """Return the engine's report."""
        try:
            async with session.get(self.url) as response:
                load = self.adapter.decode_load(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, RowError) as error:
            self.note(is_answering=False, error=repr(error))
            # An address that never answered may be wrong, so it proves nothing.
            return Report(None, is_down=self.has_answered and _is_refused(error))
        self.note(is_answering=True)
        self.has_answered = True
        return Report(load)

    def note(self, *, is_answering: bool, **fields: object) -> None:
        """Log that reports stopped or came back."""
        if is_answering == self.is_answering:
            return
        self.is_answering = is_answering
        event = _events.REPORTS_REGAINED if is_answering else _events.REPORTS_LOST
        self.log.event(event, url=self.url, **fields)


def _is_refused(error: Exception) -> bool:
    """Return whether nothing listened, as told from an engine that is only slow."""
    return isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    )
