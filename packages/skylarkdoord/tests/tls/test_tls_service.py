"""Tests of loading TLS contexts from files and of reloading them."""

import asyncio
import contextlib
import ssl
from types import SimpleNamespace

import pytest
from aiohttp import web

from skylarkdoor.settings import Listen, PlatformAddresses, ProcessSettings
from skylarkdoord.common import TlsService
from skylarkdoord.common import _tls_service as tls_service
from skylarkdoord.exceptions import TlsError

from .._fakes import FakeClock

ADDRESSES = PlatformAddresses(("http://x",), "http://x", "http://x", "http://x")


def settings(**changes) -> ProcessSettings:
    """Return the settings of an entry, with some of them replaced."""
    listen = Listen("127.0.0.1:1", tls=changes.pop("tls", None))
    return ProcessSettings("entry-1", "teika", listen, ADDRESSES, **changes)


def failing(error):
    """Return a function that raises an error instead of building a context."""

    def build():
        raise error

    return build


@pytest.fixture
def clock(monkeypatch):
    """Return the clock of the service, which the test advances."""
    clock = FakeClock()
    monkeypatch.setattr(tls_service, "time", SimpleNamespace(monotonic=clock))
    return clock


class Listener:
    """HTTPS listener with a method that reads its certificate's serial number."""

    def __init__(self, service: TlsService):
        self.service = service

    async def __aenter__(self):
        self.runner = web.AppRunner(web.Application())
        await self.runner.setup()
        context = self.service.callers or self.service.http
        site = web.TCPSite(
            self.runner, "127.0.0.1", 0, ssl_context=context.listener_context
        )
        await site.start()
        self.port = self.runner.addresses[0][1]
        return self

    async def __aexit__(self, *error):
        await self.runner.cleanup()

    async def serial(self, context: ssl.SSLContext, name: str | None = None) -> str:
        """Return the serial number of the certificate that a client receives.

        Raises:
            OSError: The client was refused. With TLS 1.3 this appears only at the
                first read.
        """
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.port, ssl=context, server_hostname=name
        )
        try:
            writer.write(b"GET / HTTP/1.0\r\n\r\n")
            if not await reader.read(1):
                raise ConnectionResetError
            certificate = writer.get_extra_info("peercert")
            return certificate["serialNumber"]
        finally:
            writer.close()


def trusting_context(authority) -> ssl.SSLContext:
    """Return a client context that trusts an authority."""
    return ssl.create_default_context(cafile=str(authority.path))


class TestLoad:
    """`TlsService.load`."""

    def test_plain(self):
        """Without TLS in the settings, all connections use plain TCP."""
        service = TlsService(settings())
        service.load()
        assert service.callers is None
        assert service.url("127.0.0.1:1") == "http://127.0.0.1:1"
        assert service.request_arguments("sidecar-1") == {}

    def test_missing_file(self, authority):
        """The error names a missing file."""
        files = authority.issue("entry-1")._replace(key="/nowhere/key.pem")
        with pytest.raises(TlsError, match=r"/nowhere/key\.pem"):
            TlsService(settings(internal_tls=files)).load()

    def test_malformed_authority(self, authority, tmp_path):
        """The error names an authority file that is not a certificate."""
        path = tmp_path / "broken.pem"
        path.write_text("no certificate")
        files = authority.issue("entry-1")._replace(authority=str(path))
        with pytest.raises(TlsError, match=r"broken\.pem"):
            TlsService(settings(internal_tls=files)).load()


class TestRenewal:
    """`TlsService.renew_if_changed`."""

    @pytest.mark.parametrize("name", [None, "entry-1"])
    async def test_listener(self, authority, logged, name):
        """An open listener presents the new certificate, with or without a name."""
        names = ("entry-1", "127.0.0.1")
        service = TlsService(settings(tls=authority.issue_for_callers(*names)))
        service.load()
        context = trusting_context(authority)
        async with Listener(service) as listener:
            before = await listener.serial(context, name)
            assert not service.renew_if_changed()
            authority.issue(*names)
            assert service.renew_if_changed()
            assert await listener.serial(context, name) != before
        assert logged.names() == ["certificate_renewed"]

    async def test_half_written(self, authority, logged):
        """A new certificate is not used until its key has been written, too."""
        files = authority.issue_for_callers("entry-1", "127.0.0.1")
        service = TlsService(settings(tls=files))
        service.load()
        with open(files.key) as former:
            former_key = former.read()
        authority.issue("entry-1", "127.0.0.1")
        with open(files.key) as new:
            new_key = new.read()
        with open(files.key, "w") as key:
            key.write(former_key)
        assert not service.renew_if_changed()
        assert logged.names() == ["certificate_rejected"]
        async with Listener(service) as listener:
            before = await listener.serial(trusting_context(authority))
            with open(files.key, "w") as key:
                key.write(new_key)
            assert service.renew_if_changed()
            assert await listener.serial(trusting_context(authority)) != before

    # Guards against a certificate that expires although a new one is there.
    @pytest.mark.parametrize("error", [TlsError("too many open files"), MemoryError()])
    def test_passing_failure(self, authority, clock, error):
        """Files that could not be loaded are loaded once the cause has passed."""
        service = self.service(authority)
        former = service.callers.current
        build = service.callers.build
        authority.issue("entry-1")
        service.callers.build = failing(error)
        with contextlib.suppress(MemoryError):
            service.renew_if_changed()
        assert service.callers.current is former
        service.callers.build = build
        clock.now += tls_service.CHECK_INTERVAL_S
        assert service.renew_if_changed()
        assert service.callers.current is not former

    # Guards against a line of the log at each check.
    def test_lasting_failure(self, authority, clock, logged):
        """Files that can't be loaded are read less and less often."""
        service = self.service(authority)
        authority.issue("entry-1")
        service.callers.build = failing(TlsError("x"))
        for _ in range(1800):
            clock.now += tls_service.CHECK_INTERVAL_S
            assert not service.renew_if_changed()
        assert set(logged.names()) == {"certificate_rejected"}
        assert 10 < len(logged.names()) < 40

    def service(self, authority):
        """Return a service that has loaded a certificate."""
        service = TlsService(settings(tls=authority.issue_for_callers("entry-1")))
        service.load()
        return service

    async def test_removed_authority(self, authority, other_authority, logged):
        """A peer is refused once its authority is removed from the file."""
        own = authority.issue("sidecar-1", "127.0.0.1")
        peer = other_authority.issue("entry-1")
        both = authority.path.read_bytes() + other_authority.path.read_bytes()
        authority.path.write_bytes(both)
        service = TlsService(settings(internal_tls=own))
        service.load()

        def presenting_context() -> ssl.SSLContext:
            context = ssl.create_default_context(cafile=own.authority)
            context.load_cert_chain(peer.certificate, peer.key)
            return context

        async with Listener(service) as listener:
            await listener.serial(presenting_context())
            authority.ca.cert_pem.write_to_path(own.authority)
            assert service.renew_if_changed()
            with pytest.raises(OSError):
                await listener.serial(presenting_context())
        assert "peer_refused" in logged.names()
