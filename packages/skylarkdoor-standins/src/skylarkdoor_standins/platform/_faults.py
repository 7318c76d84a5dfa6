"""Fault injection for the platform's services."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from aiohttp import web

from skylarkdoor_standins.platform._stats import ServiceStats


class FaultMode(StrEnum):
    """How a fault affects the requests to a service."""

    OK = "ok"
    DOWN = "down"
    """Respond with 503 and do not apply the request."""
    CLOSED = "closed"
    """Abort the connection and do not apply the request."""
    HANG = "hang"
    """Do not apply the request; abort the connection once the fault is replaced."""
    SLOW = "slow"
    """Wait, then apply the request and respond."""
    LATE = "late"
    """Apply the request, wait, then respond."""
    LOST_ACK = "lost_ack"
    """Apply a write, then abort the connection without a response."""
    STALE = "stale"
    """Respond to reads with the state at the time that the fault was set."""


_WRITE_ONLY_MODES = frozenset({FaultMode.LOST_ACK})
_READ_ONLY_MODES = frozenset({FaultMode.STALE})


@dataclass(frozen=True)
class Fault:
    """A fault of one service.

    Attributes:
        mode: How the fault affects requests.
        delay_s: The wait in seconds, for the modes ``slow`` and ``late``.
        count: The number of further requests that the fault affects; None for no
            limit.
    """

    mode: FaultMode = FaultMode.OK
    delay_s: float = 0.0
    count: int | None = None


class FaultInjector:
    """Handles the requests to one service, subject to the service's current fault."""

    def __init__(self, stats: ServiceStats):
        self.fault = Fault()
        self.stats = stats
        self._fault_changed = asyncio.Event()

    def set(self, fault: Fault) -> None:
        """Replace the fault and end the requests that hang because of the old one."""
        self.fault = fault
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()

    async def handle(
        self,
        request: web.Request,
        process: Callable[[], web.Response],
        *,
        is_write: bool,
        read_stale: Callable[[], web.Response] | None = None,
    ) -> web.Response:
        """Return the response to a request, subject to the current fault.

        Args:
            request: The request.
            process: Applies the request and returns the response.
            is_write: Whether the request may change the service's state.
            read_stale: Returns the response to a read from the state at the time that
                the fault was set; None if the service does not support stale reads.
        """
        fault = self._take_fault(is_write)
        match fault.mode:
            case FaultMode.DOWN:
                return self._service_unavailable()
            case FaultMode.CLOSED:
                return close_connection(request)
            case FaultMode.HANG:
                await self._fault_changed.wait()
                return close_connection(request)
            case FaultMode.SLOW:
                await asyncio.sleep(fault.delay_s)
            case FaultMode.STALE if read_stale is not None:
                process = read_stale
        response = process()
        await self.stats.record(request, response, is_write=is_write)
        if fault.mode is FaultMode.LATE:
            await asyncio.sleep(fault.delay_s)
        if fault.mode is FaultMode.LOST_ACK:
            return close_connection(request)
        return response

    def _take_fault(self, is_write: bool) -> Fault:
        fault = self.fault
        inapplicable_modes = _READ_ONLY_MODES if is_write else _WRITE_ONLY_MODES
        if fault.mode in inapplicable_modes:
            return Fault()
        if fault.count is not None:
            remaining = fault.count - 1
            self.fault = replace(fault, count=remaining) if remaining > 0 else Fault()
        return fault

    def _service_unavailable(self) -> web.Response:
        self.stats.refused += 1
        message = "etcdserver: no leader"
        body = {"error": message, "code": 14, "message": message}
        return web.json_response(body, status=503)


def close_connection(request: web.Request) -> web.Response:
    """Abort a request's connection and return a response that is never delivered."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
