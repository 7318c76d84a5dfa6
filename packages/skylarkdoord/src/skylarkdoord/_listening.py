"""Opens listeners whose port another process may still hold."""

import asyncio
import errno
import socket
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from skylarkdoor import events
from skylarkdoor.backoff import Backoff
from skylarkdoor.exceptions import StoppingError
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events

if TYPE_CHECKING:
    from aiohttp import web

# A process that is restarted under the same name may find its port held by the former
# one for the time in which that one drains.
PORT_TIMEOUT_S = 30.0
# Connections that wait to be accepted, at most.
BACKLOG = 1024
# Connections that are accepted in one pass of the event loop, at most, as other
# connections have to be heard in between.
ACCEPTS_PER_PASS = 16
INITIAL_DELAY_S = 0.05
MAX_DELAY_S = 0.5
# The address may also belong to a network interface that comes up later.
PASSING_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})

log = events.get_logger("process")


async def open_port(
    kernel: Kernel, address: str, open_listener: Callable[[str, int], Awaitable[Any]]
) -> None:
    """Open a listener; try again for a while if its port is taken.

    Args:
        kernel: Kernel of the process.
        address: Address of the listener as `host:port`.
        open_listener: Opens the listener on a host and port. It must be able to do so
            again after it failed.

    Raises:
        OSError: The listener can't be opened.
        StoppingError: The process stops.
    """
    host, _, port = address.rpartition(":")
    backoff = Backoff(initial_s=INITIAL_DELAY_S, max_s=MAX_DELAY_S)
    began = time.monotonic()
    is_logged = False
    while True:
        try:
            await open_listener(host, int(port))
            break
        except OSError as error:
            is_late = time.monotonic() - began > PORT_TIMEOUT_S
            if error.errno not in PASSING_ERRORS or is_late:
                raise
            if not is_logged:
                log_taken(address, error)
            is_logged = True
        await wait_unless_stopping(kernel, backoff.delay_s())
    if is_logged:
        log_opened(address)


async def open_site(
    kernel: Kernel, address: str, runner: "web.BaseRunner", **options: Any
) -> None:
    """Open an HTTP listener as `open_port` does.

    Args:
        kernel: Kernel of the process.
        address: Address of the listener as `host:port`.
        runner: The HTTP server.
        options: Further arguments of `aiohttp.web.SockSite`.

    Raises:
        OSError: The listener can't be opened.
        StoppingError: The process stops.
    """
    # A guard does without this library.
    from aiohttp import web

    async def open_listener(host: str, port: int) -> None:
        sock = socket.create_server((host, port), backlog=BACKLOG)
        site = web.SockSite(runner, sock, backlog=ACCEPTS_PER_PASS, **options)
        try:
            await site.start()
        except OSError:
            await site.stop()
            raise
        # asyncio accepts up to its backlog in one pass of the event loop.
        sock.listen(BACKLOG)

    await open_port(kernel, address, open_listener)


async def wait_unless_stopping(kernel: Kernel, delay_s: float) -> None:
    """Wait for a time in seconds.

    Raises:
        StoppingError: The process stops.
    """
    try:
        async with asyncio.timeout(delay_s):
            await kernel.stopping.wait()
    except TimeoutError:
        return
    raise StoppingError("the process stops before it has started")


def log_taken(address: str, error: OSError) -> None:
    """Log that a port can't be opened yet."""
    log.event(_events.PORT_TAKEN, address=address, error=str(error))


def log_opened(address: str) -> None:
    """Log that a port is open that could not be opened before."""
    log.event(_events.PORT_OPENED, address=address)
