"""TLS contexts, built from the files that the settings name.

A listener keeps the context that it was opened with for as long as it lives.
Its server-name callback, which runs in each handshake, puts the newest context
in its place, so a renewed certificate needs no new listener and a withdrawn
authority is trusted no longer.
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
    """Logs a handshake that fails, which asyncio passes over in silence."""

    def do_handshake(self) -> None:
        try:
            super().do_handshake()
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            raise
        except ssl.SSLError as error:
            _log.event(_events.PEER_REFUSED, reason=str(error))
            raise


class ServerTls:
    """The context of a listener, replaced while it listens.

    Args:
        build: Builds a context from the files as they are now.
    """

    def __init__(self, build: Build) -> None:
        self.build = build
        self.current = build()
        self.listening = build()
        self.listening.sni_callback = self.choose

    def replace(self, context: ssl.SSLContext) -> None:
        """Serve later handshakes from another context."""
        self.current = context

    def choose(
        self, handshake: ssl.SSLObject, name: str | None, listening: ssl.SSLContext
    ) -> None:
        """Put the newest context in place of the one listened with."""
        handshake.context = self.current


class ClientTls:
    """The context of connections to other processes.

    Args:
        build: Builds a context from the files as they are now.
    """

    def __init__(self, build: Build) -> None:
        self.build = build
        self.current = build()

    def replace(self, context: ssl.SSLContext) -> None:
        """Open later connections with another context."""
        self.current = context


def callers_context(files: CertificateFiles) -> ssl.SSLContext:
    """Return the context for callers, who present no certificate.

    Raises:
        TlsError: A file cannot be loaded.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    _load_own(context, files.certificate, files.key)
    return context


def peers_context(
    files: MutualTls, verify: ssl.VerifyMode, *, http2: bool = False
) -> ssl.SSLContext:
    """Return the context of a listener for other processes.

    Args:
        files: Own certificate and key, and the authority for peers.
        verify: Whether every peer must present a certificate.
        http2: Whether HTTP/2 is spoken.

    Raises:
        TlsError: A file cannot be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = verify
    return _mutual(context, files, http2=http2)


def client_context(files: MutualTls, *, http2: bool = False) -> ssl.SSLContext:
    """Return the context for connections to other processes.

    Args:
        files: Own certificate and key, and the authority for peers.
        http2: Whether HTTP/2 is spoken.

    Raises:
        TlsError: A file cannot be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    return _mutual(context, files, http2=http2)


def names_of(certificate: dict[str, Any] | None) -> tuple[str, ...]:
    """Return the names that a verified certificate was issued for."""
    if not certificate:
        return ()
    alternatives = certificate.get("subjectAltName", ())
    return tuple(value for kind, value in alternatives if kind == "DNS")


def _mutual(
    context: ssl.SSLContext, files: MutualTls, *, http2: bool
) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.sslobject_class = _LoggedHandshake
    if http2:
        context.set_alpn_protocols([HTTP2])
    _load_own(context, files.certificate, files.key)
    try:
        context.load_verify_locations(cafile=files.authority)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(f"authority {files.authority}: {error}") from None
    return context


def _load_own(context: ssl.SSLContext, certificate: str, key: str) -> None:
    try:
        context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(f"certificate {certificate}, key {key}: {error}") from None
