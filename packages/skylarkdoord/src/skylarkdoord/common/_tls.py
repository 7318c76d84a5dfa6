"""TLS contexts built from the certificate files in the settings.

A listener keeps its initial context until it is closed. The server-name callback
of that context runs in each handshake and switches to the latest context, so a
renewed certificate or a removed authority takes effect without a new listener.
"""

import ssl
from collections.abc import Callable
from typing import Any

from skylarkdoor import events
from skylarkdoor.settings import CertificateFiles, MutualTls
from skylarkdoord import _events
from skylarkdoord.exceptions import TlsError

HTTP2 = "h2"

Build = Callable[[], ssl.SSLContext]

_log = events.get_logger("tls")


class _LoggedHandshake(ssl.SSLObject):
    """Logs failed handshakes, which asyncio does not report."""

    def do_handshake(self) -> None:
        try:
            super().do_handshake()
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            raise
        except ssl.SSLError as error:
            _log.event(_events.PEER_REFUSED, reason=str(error))
            raise


class ServerTls:
    """The TLS context of a listener, which can be replaced while it listens.

    Args:
        build: Builds a context from the current files.
    """

    def __init__(self, build: Build) -> None:
        self.build = build
        self.current = build()
        self.listener_context = build()
        self.listener_context.sni_callback = self.select_context

    def replace(self, context: ssl.SSLContext) -> None:
        """Use another context for later handshakes."""
        self.current = context

    def select_context(
        self,
        handshake: ssl.SSLObject,
        name: str | None,
        listener_context: ssl.SSLContext,
    ) -> None:
        """Switch a handshake from the listener's initial context to the latest one."""
        handshake.context = self.current


class ClientTls:
    """The TLS context of connections to other processes.

    Args:
        build: Builds a context from the current files.
    """

    def __init__(self, build: Build) -> None:
        self.build = build
        self.current = build()

    def replace(self, context: ssl.SSLContext) -> None:
        """Use another context for later connections."""
        self.current = context


def callers_context(files: CertificateFiles) -> ssl.SSLContext:
    """Return the context of the callers' listener, without client certificates.

    Raises:
        TlsError: A file cannot be loaded.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    _load_certificate(context, files.certificate, files.key)
    return context


def peers_context(
    files: MutualTls, verify: ssl.VerifyMode, *, http2: bool = False
) -> ssl.SSLContext:
    """Return the context of a listener for other processes.

    Args:
        files: Own certificate and key, and the authority of the peers.
        verify: Whether peers must present a certificate.
        http2: Whether to negotiate HTTP/2.

    Raises:
        TlsError: A file cannot be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = verify
    return _configure_mutual_tls(context, files, http2=http2)


def client_context(files: MutualTls, *, http2: bool = False) -> ssl.SSLContext:
    """Return the context for connections to other processes.

    Args:
        files: Own certificate and key, and the authority of the peers.
        http2: Whether to negotiate HTTP/2.

    Raises:
        TlsError: A file cannot be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    return _configure_mutual_tls(context, files, http2=http2)


def dns_names(certificate: dict[str, Any] | None) -> tuple[str, ...]:
    """Return the DNS names of a verified certificate; empty without a certificate."""
    if not certificate:
        return ()
    alternatives = certificate.get("subjectAltName", ())
    return tuple(value for kind, value in alternatives if kind == "DNS")


def _configure_mutual_tls(
    context: ssl.SSLContext, files: MutualTls, *, http2: bool
) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.sslobject_class = _LoggedHandshake
    if http2:
        context.set_alpn_protocols([HTTP2])
    _load_certificate(context, files.certificate, files.key)
    try:
        context.load_verify_locations(cafile=files.authority)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(f"authority {files.authority}: {error}") from None
    return context


def _load_certificate(context: ssl.SSLContext, certificate: str, key: str) -> None:
    try:
        context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(f"certificate {certificate}, key {key}: {error}") from None
