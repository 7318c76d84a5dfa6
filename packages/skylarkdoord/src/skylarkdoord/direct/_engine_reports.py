"""Asks the engine beside a guard for its load."""

import asyncio
import http.client
from collections.abc import Callable
from typing import NamedTuple

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Adapter, EngineLoad
from skylarkdoord.direct.exceptions import RowError

REPORT_INTERVAL_S = 0.2
REPORT_TIMEOUT_S = 0.5


class Report(NamedTuple):
    """What is heard of the engine.

    Attributes:
        load: What it says of itself; None where it says nothing usable.
        is_down: Whether nothing listens at its address.
    """

    load: EngineLoad | None
    is_down: bool = False


class EngineReports:
    """Asks the engine beside this process for its load, again and again.

    The client of the standard library does for one call on loopback; aiohttp
    would add half to a guard's memory.

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
        self.address = address
        self.connection = http.client.HTTPConnection(address, timeout=REPORT_TIMEOUT_S)
        self.listener = listener
        self.is_answering = True
        self.has_answered = False
        self.log = events.get_logger("direct.engine_reports")

    async def start(self, kernel: Kernel) -> None:
        """Begin to ask."""
        kernel.spawn(self.watch(), name="engine_reports.watch")

    async def stop(self) -> None:
        """Close the connection; the kernel ends the task."""
        self.connection.close()

    async def watch(self) -> None:
        """Ask until cancelled."""
        while True:
            self.listener(await self.ask())
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def ask(self) -> Report:
        """Return the engine's report."""
        try:
            load = self.adapter.decode_load(await asyncio.to_thread(self.fetch))
        except (http.client.HTTPException, OSError, RowError) as error:
            self.note(is_answering=False, error=repr(error))
            # An address that never answered may be wrong, so it proves nothing.
            is_refused = isinstance(error, ConnectionRefusedError)
            return Report(None, is_down=self.has_answered and is_refused)
        self.note(is_answering=True)
        self.has_answered = True
        return Report(load)

    def fetch(self) -> bytes:
        """Return the report as the engine sends it.

        Raises:
            HTTPException, OSError: It sends none.
        """
        try:
            self.connection.request("GET", self.adapter.load_path)
            return self.connection.getresponse().read()
        except (http.client.HTTPException, OSError):
            self.connection.close()
            raise

    def note(self, *, is_answering: bool, **fields: object) -> None:
        """Log that reports stopped or came back."""
        if is_answering == self.is_answering:
            return
        self.is_answering = is_answering
        event = _events.REPORTS_REGAINED if is_answering else _events.REPORTS_LOST
        self.log.event(event, address=self.address, **fields)
