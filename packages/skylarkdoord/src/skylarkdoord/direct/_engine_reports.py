"""Polls the engine beside a guard for its load."""

import asyncio
import http.client
from collections.abc import Callable
from typing import NamedTuple

from skylarkdoor import events
from skylarkdoor.failures import reason
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Adapter, EngineLoad
from skylarkdoord.direct._plain_http import PlainClient
from skylarkdoord.direct.exceptions import RowError

REPORT_INTERVAL_S = 0.2


class Report(NamedTuple):
    """Result of polling the engine.

    Attributes:
        load: The engine's load; None if it sent no valid report.
        is_down: Whether connections to the engine are refused.
    """

    load: EngineLoad | None
    is_down: bool = False


class EngineReports:
    """Polls the engine beside this process for its load.

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
        self.client = PlainClient(address)
        self.listener = listener
        self.is_answering = True
        self.has_answered = False
        self.log = events.get_logger("direct.engine_reports")

    async def start(self, kernel: Kernel) -> None:
        """Start polling."""
        kernel.supervise(self.watch, name="engine_reports.watch")

    async def stop(self) -> None:
        """Close the connection; the kernel ends the polling task."""
        self.client.close()

    async def watch(self) -> None:
        """Poll at a fixed interval until cancelled."""
        while True:
            self.listener(await self.poll())
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def poll(self) -> Report:
        """Poll the engine once."""
        try:
            path = self.adapter.load_path
            data = await asyncio.to_thread(self.client.get, path)
            load = self.adapter.decode_load(data)
        except (http.client.HTTPException, OSError, RowError) as error:
            self.set_answering(is_answering=False, error=reason(error))
            # The address may be wrong if it has never answered; a refused connection
            # is then no sign that the engine is down.
            is_refused = isinstance(error, ConnectionRefusedError)
            return Report(None, is_down=self.has_answered and is_refused)
        self.set_answering(is_answering=True)
        self.has_answered = True
        return Report(load)

    def set_answering(self, *, is_answering: bool, **fields: object) -> None:
        """Log the loss or recovery of reports.

        Args:
            is_answering: Whether the last poll returned a valid report.
            fields: Further fields of the log event.
        """
        if is_answering == self.is_answering:
            return
        self.is_answering = is_answering
        event = _events.REPORTS_REGAINED if is_answering else _events.REPORTS_LOST
        self.log.event(event, address=self.address, **fields)
