"""Serving a stand-in as a process of its own."""

import asyncio
import signal

from aiohttp import web

HOST = "127.0.0.1"
_SHUTDOWN_S = 0.2


async def serve(
    app: web.Application, *, port: int, handler_cancellation: bool = False
) -> None:
    """Serve an application on loopback until SIGTERM or SIGINT.

    Prints one line, ``ready URL``, once the socket listens.

    Args:
        app: The application.
        port: The port, or 0 for a free one.
        handler_cancellation: Whether a caller's disconnection cancels its handler.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=handler_cancellation,
        shutdown_timeout=_SHUTDOWN_S,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, HOST, port).start()
        print(f"ready http://{HOST}:{runner.addresses[0][1]}", flush=True)
        await _stop_signal()
    finally:
        await runner.cleanup()


async def _stop_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
