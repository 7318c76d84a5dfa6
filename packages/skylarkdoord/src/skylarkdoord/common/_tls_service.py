"""Service that holds a process's TLS contexts and reloads them if files change."""

import asyncio
import os
import ssl
import time
from typing import NamedTuple, TypedDict

from aiohttp import web

from skylarkdoor import events
from skylarkdoor.backoff import Backoff
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord import _events
from skylarkdoord.common._tls import (
    ClientTls,
    ServerTls,
    callers_context,
    client_context,
    peers_context,
)
from skylarkdoord.exceptions import TlsError

CHECK_INTERVAL_S = 2.0
# Longest interval at which files that could not be loaded are tried again.
MAX_RETRY_INTERVAL_S = 300.0


class ClientArguments(TypedDict, total=False):
    """Arguments of an aiohttp request to another process."""

    ssl: ssl.SSLContext
    server_hostname: str


class _FileStamp(NamedTuple):
    """Metadata that changes when a file is replaced or written."""

    modified_ns: int
    size_bytes: int
    inode: int


class TlsService:
    """Holds the TLS contexts of listeners and of connections to other processes.

    An attribute is None if its connections use plain TCP.

    Args:
        settings: Settings of this process.

    Attributes:
        callers: Context of the callers' listener.
        http: Context of the internal HTTP listener.
        rpc: Context of the listener for control streams.
        http_client: Context of HTTP connections to other processes.
        rpc_client: Context of control streams to other processes.
        stamps: Metadata of the files in use.
        rejected_stamps: Metadata of the files that could not be loaded last.
    """

    name = "tls"
    requires: tuple[str, ...] = ()

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.callers: ServerTls | None = None
        self.http: ServerTls | None = None
        self.rpc: ServerTls | None = None
        self.http_client: ClientTls | None = None
        self.rpc_client: ClientTls | None = None
        self.stamps: dict[str, _FileStamp | None] = {}
        self.rejected_stamps: dict[str, _FileStamp | None] = {}
        self.retries = Backoff(initial_s=CHECK_INTERVAL_S, max_s=MAX_RETRY_INTERVAL_S)
        self.next_retry_at = 0.0
        self.log = events.get_logger("tls")

    async def start(self, kernel: Kernel) -> None:
        """Load the files and start watching them for changes."""
        self.load()
        if self.stamps:
            kernel.supervise(self.watch, name="tls.watch")

    async def stop(self) -> None:
        """Do nothing; there are no resources to release."""

    def load(self) -> None:
        """Build the contexts that the settings require.

        Raises:
            TlsError: A file cannot be loaded.
        """
        self.stamps = self._stamps()
        own = self.settings.listen.tls
        if own is not None:
            self.callers = ServerTls(lambda: callers_context(own))
        mutual = self.settings.internal_tls
        if mutual is None:
            return
        # Health, metrics and the operators' API work without a client certificate,
        # so the internal listener only requests one. The routes for peers check
        # that one was presented.
        self.http = ServerTls(lambda: peers_context(mutual, ssl.CERT_OPTIONAL))
        self.rpc = ServerTls(
            lambda: peers_context(mutual, ssl.CERT_REQUIRED, http2=True)
        )
        self.http_client = ClientTls(lambda: client_context(mutual))
        self.rpc_client = ClientTls(lambda: client_context(mutual, http2=True))

    async def watch(self) -> None:
        """Check the files for changes until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.renew_if_changed()

    def renew_if_changed(self) -> bool:
        """Reload the files if any has changed.

        If a file cannot be loaded, the current contexts stay in use. The files are
        tried again with back-off, as the cause may pass without a change to them, or at
        once if they change.

        Returns:
            Whether new contexts are in use.
        """
        stamps = self._stamps()
        if stamps == self.stamps or self._is_retry_early(stamps):
            return False
        endpoints = [
            endpoint
            for endpoint in (
                self.callers,
                self.http,
                self.rpc,
                self.http_client,
                self.rpc_client,
            )
            if endpoint is not None
        ]
        try:
            contexts = [endpoint.build() for endpoint in endpoints]
        except TlsError as error:
            self._plan_retry(stamps)
            self.log.event(_events.CERTIFICATE_REJECTED, error=str(error))
            return False
        for endpoint, context in zip(endpoints, contexts, strict=True):
            endpoint.replace(context)
        self.stamps = stamps
        self.log.event(_events.CERTIFICATE_RENEWED)
        return True

    def url(self, address: str) -> str:
        """Return the base URL of another process's internal address."""
        scheme = "http" if self.http_client is None else "https"
        return f"{scheme}://{address}"

    def request_arguments(self, instance: str) -> ClientArguments:
        """Return the TLS arguments for a request to another process.

        Args:
            instance: Name that the other process's certificate must contain.
        """
        if self.http_client is None:
            return {}
        return {"ssl": self.http_client.current, "server_hostname": instance}

    def is_peer(self, request: web.Request) -> bool:
        """Return whether a request comes from a process of this deployment.

        Without `internal_tls` in the settings, every request is accepted.
        """
        if self.http is None:
            return True
        transport = request.transport
        return transport is not None and bool(transport.get_extra_info("peercert"))

    def _is_retry_early(self, stamps: dict[str, _FileStamp | None]) -> bool:
        return stamps == self.rejected_stamps and time.monotonic() < self.next_retry_at

    def _plan_retry(self, stamps: dict[str, _FileStamp | None]) -> None:
        if stamps != self.rejected_stamps:
            self.retries.reset()
        self.rejected_stamps = stamps
        self.next_retry_at = time.monotonic() + self.retries.delay_s()

    def _stamps(self) -> dict[str, _FileStamp | None]:
        paths: list[str] = []
        for files in (self.settings.listen.tls, self.settings.internal_tls):
            if files is not None:
                paths.extend(files)
        return {path: _stamp(path) for path in paths}


def _stamp(path: str) -> _FileStamp | None:
    try:
        found = os.stat(path)
    except OSError:
        return None
    return _FileStamp(found.st_mtime_ns, found.st_size, found.st_ino)
