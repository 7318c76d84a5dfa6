"""HTTP servers of the own interface."""

from typing import Any

from aiohttp import web

from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import Limits
from skylarkdoord._descriptors import max_descriptors
from skylarkdoord.ingress import (
    ApplicationRunner,
    ConnectionLimit,
    ConnectionSweeper,
    ConnectionTable,
    IngressLimits,
    set_up,
)

SHUTDOWN_TIMEOUT_S = 1.0
# Bytes of a body that are received before they are read; up to twice as many are held.
READ_BUFFER_BYTES = 64 * 1024
# Most bytes of requests that are not handled yet, beside those that wait.
UNFINISHED_SHARE = 0.125


def connection_limit(limits: Limits) -> ConnectionLimit:
    """Return the limit on the connections of those whom a process serves."""
    return ConnectionLimit.derived(max_descriptors(), limits.max_connections)


async def set_up_server(
    kernel: Kernel,
    app: web.Application,
    limits: Limits,
    limit: ConnectionLimit,
    *,
    name: str,
    **options: Any,
) -> ApplicationRunner:
    """Return a runner of an application, whose connections are bounded.

    Args:
        kernel: Kernel of the process.
        app: The application.
        limits: Limits of the process.
        limit: Limit on its connections.
        name: Name of the server.
        options: Further options of `IngressServer`.
    """
    in_force = IngressLimits(
        head_timeout_s=limits.head_timeout_s, idle_timeout_s=limits.idle_timeout_s
    )
    table = ConnectionTable(
        limit=limit,
        limits=lambda: in_force,
        max_unfinished_bytes=int(UNFINISHED_SHARE * limits.max_waiting_bytes),
    )
    kernel.supervise(ConnectionSweeper(table).run, name=f"{name}.sweeper")
    return await set_up(
        app,
        table,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout_s=SHUTDOWN_TIMEOUT_S,
        read_bufsize=READ_BUFFER_BYTES,
        **options,
    )
