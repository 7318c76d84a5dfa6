"""An entry, a sidecar and an engine that speak TLS, in one process."""

import asyncio
import ssl
from contextlib import AsyncExitStack

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import (
    Listen,
    PlatformAddresses,
    ProcessSettings,
    Upstream,
)
from skylarkdoor_bench import api_key, small_demo
from skylarkdoor_bench._platform import PlatformControl
from skylarkdoor_bench._ports import free_port
from skylarkdoor_standins import engine, platform
from skylarkdoord import entry, sidecar
from skylarkdoord.entry import Directory

CUSTOMER = "teika-garden"
CHAT = {"model": "garden-7b", "messages": [{"role": "user", "content": "hello"}]}


def address() -> str:
    """Return an address on which nobody listens yet."""
    return f"127.0.0.1:{free_port()}"


class Deployment:
    """Starts entries and sidecars over one platform and one engine."""

    def __init__(self, stack: AsyncExitStack):
        self.stack = stack

    async def start(self) -> None:
        """Start the platform and the engine."""
        app = platform.create_app(list_lag_s=0.0)
        self.platform_url = await self.serve(app)
        spec = engine.EngineSettings(model="garden-7b", time_scale=100.0)
        self.engine_url = await self.serve(engine.create_app(spec))
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())
        self.control = PlatformControl(self.session, self.platform_url)
        await self.control.seed_settings(small_demo())

    async def serve(self, app) -> str:
        """Serve an application and return its URL."""
        server = await self.stack.enter_async_context(TestServer(app))
        return str(server.make_url("")).rstrip("/")

    def settings(self, name, listen, **changes) -> ProcessSettings:
        """Return the settings of one process."""
        addresses = PlatformAddresses((self.platform_url,), *[self.platform_url] * 3)
        return ProcessSettings(name, "teika", listen, addresses, **changes)

    async def run_sidecar(self, tls) -> ProcessSettings:
        """Start a sidecar and list it."""
        settings = self.settings(
            "sidecar-1",
            Listen(address(), rpc=address()),
            upstream=Upstream(self.engine_url, "assistant"),
            internal_tls=tls,
        )
        await self.run(sidecar.build, settings)
        await self.control.register("sidecar", settings)
        return settings

    async def run_entry(self, tls, *, callers_tls=None) -> Kernel:
        """Start an entry and return its kernel."""
        listen = Listen(address(), callers=address(), tls=callers_tls)
        settings = self.settings("entry-1", listen, internal_tls=tls)
        self.callers = listen.callers
        return await self.run(entry.build, settings)

    async def run(self, build, settings) -> Kernel:
        """Start the services of a process."""
        kernel = Kernel()
        build(kernel, settings)
        await kernel.start()
        self.stack.push_async_callback(kernel.stop)
        return kernel


@pytest.fixture
async def deployment():
    """Return a deployment whose platform and engine run."""
    async with AsyncExitStack() as stack:
        started = Deployment(stack)
        await started.start()
        yield started


async def until(condition) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.02)


def connected(kernel: Kernel) -> bool:
    """Return whether an entry has a stream to its sidecar."""
    peers = kernel.find("directory", Directory).peers
    return any(peer.connected for peer in peers.values())


class TestKnownPeers:
    """Processes whose certificates fit."""

    async def test_whole_way(self, deployment, authority):
        """A caller's request goes over TLS at each hop and is answered."""
        await deployment.run_sidecar(authority.issue("sidecar-1"))
        kernel = await deployment.run_entry(
            authority.issue("entry-1"),
            callers_tls=authority.issue_for_callers("127.0.0.1"),
        )
        await until(lambda: connected(kernel))
        context = ssl.create_default_context(cafile=str(authority.path))
        headers = {"Authorization": f"Bearer {api_key(CUSTOMER)}"}
        url = f"https://{deployment.callers}/v1/chat/completions"

        async def ask() -> int:
            async with deployment.session.post(
                url, json=CHAT, headers=headers, ssl=context
            ) as answer:
                return answer.status

        async with asyncio.timeout(20):
            # Until the engine's health is known, the answer is a refusal.
            while (status := await ask()) == 503:
                await asyncio.sleep(0.05)
        assert status == 200


class TestUnknownPeers:
    """Processes whose certificates don't fit."""

    async def test_other_authority(self, deployment, authority, stranger, logged):
        """An entry of another authority gets no stream, and this is logged."""
        await deployment.run_sidecar(authority.issue("sidecar-1"))
        foreign = stranger.issue("entry-1")._replace(authority=str(authority.path))
        kernel = await deployment.run_entry(foreign)
        await until(lambda: logged.names().count("peer_refused") > 1)
        assert not connected(kernel)

    async def test_other_name(self, deployment, authority, logged):
        """An entry that goes by another's name gets no stream."""
        await deployment.run_sidecar(authority.issue("sidecar-1"))
        kernel = await deployment.run_entry(authority.issue("entry-2"))
        await until(lambda: logged.names().count("peer_refused") > 1)
        assert not connected(kernel)

    async def test_other_sidecar(self, deployment, authority, logged):
        """An entry opens no stream to a sidecar under another's name."""
        await deployment.run_sidecar(authority.issue("sidecar-2"))
        kernel = await deployment.run_entry(authority.issue("entry-1"))
        await until(lambda: logged.names().count("peer_refused") > 1)
        assert not connected(kernel)

    @pytest.mark.parametrize("path", ["dispatch", "outcome"])
    async def test_no_certificate(self, deployment, authority, logged, path):
        """A body or a question without a certificate is refused as not run."""
        settings = await deployment.run_sidecar(authority.issue("sidecar-1"))
        context = ssl.create_default_context(cafile=str(authority.path))
        url = f"https://{settings.listen.internal}/internal/{path}/r1"
        async with deployment.session.post(
            url, ssl=context, server_hostname="sidecar-1"
        ) as answer:
            assert answer.status == 403
            assert answer.headers["X-Skylarkdoor-Not-Run"] == "1"
        assert "peer_refused" in logged.names()

    async def test_open_routes(self, deployment, authority):
        """Health and metrics need no certificate."""
        settings = await deployment.run_sidecar(authority.issue("sidecar-1"))
        context = ssl.create_default_context(cafile=str(authority.path))
        for path in ("healthz", "metrics"):
            async with deployment.session.get(
                f"https://{settings.listen.internal}/{path}",
                ssl=context,
                server_hostname="sidecar-1",
            ) as answer:
                assert answer.status == 200
