"""Runs a stand-in's HTTP server in a process of its own."""

import asyncio
import signal

from aiohttp import web

HOST = "127.0.0.1"
_SHUTDOWN_TIMEOUT_S = 0.2


async def serve(
    app: web.Application, *, port: int, handler_cancellation: bool = False
) -> None:
    """Serve an application on loopback until SIGTERM or SIGINT.

    Prints one line, ``ready URL``, once the server accepts connections.

    Args:
        app: The application to serve.
        port: The port to listen on; 0 selects a free one.
        handler_cancellation: Whether a request handler is cancelled when its client
            disconnects.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=handler_cancellation,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, HOST, port).start()
        print(f"ready http://{HOST}:{runner.addresses[0][1]}", flush=True)
        await _wait_for_stop_signal()
    finally:
        await runner.cleanup()


async def _wait_for_stop_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
