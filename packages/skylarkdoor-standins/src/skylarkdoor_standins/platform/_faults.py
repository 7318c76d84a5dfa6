"""Faults of the platform's services, set on demand."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from aiohttp import web

from skylarkdoor_standins.platform._stats import ServiceStats


class FaultMode(StrEnum):
    """What goes wrong with a service's requests."""

    OK = "ok"
    DOWN = "down"
    """Answer 503 and apply nothing."""
    CLOSED = "closed"
    """Close the connection and apply nothing."""
    HANG = "hang"
    """Apply and answer nothing until the fault is cleared."""
    SLOW = "slow"
    """Wait, then apply and answer."""
    LATE = "late"
    """Apply, wait, then answer."""
    LOST_ACK = "lost_ack"
    """Apply a write, then close the connection without an answer."""
    STALE = "stale"
    """Answer reads from the state at the time that the fault was set."""


_WRITE_ONLY = frozenset({FaultMode.LOST_ACK})
_READ_ONLY = frozenset({FaultMode.STALE})


@dataclass(frozen=True)
class Fault:
    """A fault: its mode, delay and how many more requests it meets."""

    mode: FaultMode = FaultMode.OK
    delay_s: float = 0.0
    count: int | None = None


class FaultGate:
    """Passes the requests of one service through its present fault."""

    def __init__(self, stats: ServiceStats):
        self.fault = Fault()
        self.stats = stats
        self._changed = asyncio.Event()

    def set(self, fault: Fault) -> None:
        """Replace the fault and release the requests that it holds."""
        self.fault = fault
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self,
        request: web.Request,
        operate: Callable[[], web.Response],
        *,
        is_write: bool,
        operate_stale: Callable[[], web.Response] | None = None,
    ) -> web.Response:
        """Return the answer to a request, as far as the fault lets it through.

        Args:
            request: The request.
            operate: Applies the request and makes its answer.
            is_write: Whether the request may change something.
            operate_stale: Answers a read from the state kept at the fault's start.
        """
        fault = self._take(is_write)
        match fault.mode:
            case FaultMode.DOWN:
                return self._unavailable()
            case FaultMode.CLOSED:
                return close_connection(request)
            case FaultMode.HANG:
                await self._changed.wait()
                return close_connection(request)
            case FaultMode.SLOW:
                await asyncio.sleep(fault.delay_s)
            case FaultMode.STALE if operate_stale is not None:
                operate = operate_stale
        response = operate()
        await self.stats.record(request, response, is_write=is_write)
        if fault.mode is FaultMode.LATE:
            await asyncio.sleep(fault.delay_s)
        if fault.mode is FaultMode.LOST_ACK:
            return close_connection(request)
        return response

    def _take(self, is_write: bool) -> Fault:
        fault = self.fault
        others = _READ_ONLY if is_write else _WRITE_ONLY
        if fault.mode in others:
            return Fault()
        if fault.count is not None:
            left = fault.count - 1
            self.fault = replace(fault, count=left) if left > 0 else Fault()
        return fault

    def _unavailable(self) -> web.Response:
        self.stats.refused += 1
        message = "etcdserver: no leader"
        body = {"error": message, "code": 14, "message": message}
        return web.json_response(body, status=503)


def close_connection(request: web.Request) -> web.Response:
    """Abort a request's connection; the response returned reaches nobody."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
