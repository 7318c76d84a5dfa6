"""Server that exposes the metrics of direct entries and guards."""

import asyncio
import io
import socket
import threading
import time
from collections import OrderedDict
from socketserver import ThreadingMixIn
from typing import Any
from wsgiref.simple_server import WSGIRequestHandler, WSGIServer, make_server

from prometheus_client import make_wsgi_app

from skylarkdoor.kernel import Kernel
from skylarkdoord._listening import log_opened, log_taken
from skylarkdoord.direct._settings import DirectSettings

# Interval at which a port that could not be opened is tried again.
RETRY_INTERVAL_S = 1.0
# Connections at a time, each with a thread; the oldest one is closed for another.
MAX_CONNECTIONS = 16
# Time for a request, and again for its answer.
TIMEOUT_S = 5.0
MAX_HEAD_BYTES = 16 * 1024
RECEIVE_BYTES = 4 * 1024
HEAD_END = b"\r\n\r\n"


class MetricsServer:
    """Serves the metrics in Prometheus text form.

    Args:
        settings: Settings of this process.
    """

    name = "metrics"
    requires: tuple[str, ...] = ()

    def __init__(self, settings: DirectSettings) -> None:
        self.address = settings.listen.metrics
        self.server: WSGIServer | None = None
        self.is_logged = False

    async def start(self, kernel: Kernel) -> None:
        """Listen on the metrics address, now or as soon as its port is free."""
        if not self.listen():
            kernel.supervise(self.retry, name="metrics.listen")

    async def retry(self) -> None:
        """Try to listen until it succeeds."""
        while not self.listen():
            await asyncio.sleep(RETRY_INTERVAL_S)
        log_opened(self.address)

    def listen(self) -> bool:
        """Listen; return whether the port could be opened.

        A process serves without its metrics. The first failure is logged.
        """
        host, _, port = self.address.rpartition(":")
        try:
            self.server = make_server(
                host, int(port), make_wsgi_app(), BoundedServer, BoundedHandler
            )
        except OSError as error:
            if not self.is_logged:
                log_taken(self.address, error)
            self.is_logged = True
            return False
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        return True

    async def stop(self) -> None:
        """Close the listener, without a wait for the end of its thread."""
        if self.server is not None:
            closing = threading.Thread(target=close, args=(self.server,), daemon=True)
            closing.start()


class BoundedServer(ThreadingMixIn, WSGIServer):
    """A server with a thread for each connection, and a bound on their number."""

    daemon_threads = True

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.lock = threading.Lock()
        self.connections: OrderedDict[socket.socket, None] = OrderedDict()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Begin to serve a connection; the oldest one makes room for it."""
        with self.lock:
            if len(self.connections) >= MAX_CONNECTIONS:
                oldest, _ = self.connections.popitem(last=False)
                end_connection(oldest)
            self.connections[request] = None
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection."""
        with self.lock:
            self.connections.pop(request, None)
        super().shutdown_request(request)


class BoundedHandler(WSGIRequestHandler):
    """Serves one request, whose head is bounded in size and time."""

    connection: socket.socket

    def setup(self) -> None:
        """Receive the head."""
        super().setup()
        head = receive_head(self.connection)
        self.rfile = io.BytesIO(head)
        self.connection.settimeout(TIMEOUT_S)

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing."""


def receive_head(connection: socket.socket) -> bytes:
    """Return the head of a request; empty if it is too large, late or incomplete."""
    deadline = time.monotonic() + TIMEOUT_S
    head = b""
    while HEAD_END not in head:
        timeout_s = deadline - time.monotonic()
        if timeout_s <= 0 or len(head) > MAX_HEAD_BYTES:
            return b""
        connection.settimeout(timeout_s)
        try:
            part = connection.recv(RECEIVE_BYTES)
        except OSError:
            return b""
        if not part:
            return b""
        head += part
    return head


def end_connection(connection: socket.socket) -> None:
    """Let the thread of a connection end; it closes the connection."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It has ended by itself.
        pass


def close(server: WSGIServer) -> None:
    """Close a listener and its thread; this takes up to half a second."""
    server.shutdown()
    server.server_close()
