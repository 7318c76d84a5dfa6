"""Runs entries and sidecars in the test process, with stand-ins for the platform."""

import asyncio
from contextlib import AsyncExitStack

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer

from skylarkdoor import tracing
from skylarkdoor.hashing import key_hash
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import (
    CertificateFiles,
    Limits,
    Listen,
    MutualTls,
    PlatformAddresses,
    ProcessSettings,
    Upstream,
)
from skylarkdoor_bench import small_demo
from skylarkdoor_bench._platform import PlatformControl
from skylarkdoor_bench.testing import free_port
from skylarkdoor_standins import platform
from skylarkdoord import entry, sidecar
from skylarkdoord.entry import Directory

OPERATOR_TOKEN = "operator-token"


def address() -> str:
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{free_port()}"


class Deployment:
    """Runs the platform stand-in and, on request, an entry and a sidecar."""

    def __init__(self, stack: AsyncExitStack):
        self.stack = stack

    async def start(self) -> None:
        """Start the platform and write the settings."""
        tracing.configure(instance="test")
        app = platform.create_app(list_lag_s=0.0)
        self.platform_url = await self.serve(app)
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())
        self.control = PlatformControl(self.session, self.platform_url)
        await self.control.seed_settings(small_demo())

    async def serve(self, app: web.Application) -> str:
        """Serve an application and return its URL."""
        server = await self.stack.enter_async_context(TestServer(app))
        return str(server.make_url("")).rstrip("/")

    def settings(self, name: str, listen: Listen, **changes) -> ProcessSettings:
        """Return the settings of one process."""
        addresses = PlatformAddresses((self.platform_url,), *[self.platform_url] * 3)
        return ProcessSettings(name, "teika", listen, addresses, **changes)

    async def run_sidecar(
        self, upstream: Upstream, *, tls: MutualTls | None = None
    ) -> ProcessSettings:
        """Start a sidecar and register it on the instance list."""
        settings = self.settings(
            "sidecar-1",
            Listen(address(), rpc=address()),
            upstream=upstream,
            internal_tls=tls,
        )
        await self.run(sidecar.build, settings)
        await self.control.register("sidecar", settings)
        return settings

    async def run_entry(
        self,
        *,
        tls: MutualTls | None = None,
        callers_tls: CertificateFiles | None = None,
        limits: Limits | None = None,
    ) -> Kernel:
        """Start an entry and return its kernel."""
        listen = Listen(address(), callers=address(), tls=callers_tls)
        settings = self.settings(
            "entry-1",
            listen,
            limits=limits or Limits(),
            internal_tls=tls,
            operator_token_hashes=(key_hash(OPERATOR_TOKEN),),
        )
        self.internal = listen.internal
        self.callers = listen.callers
        return await self.run(entry.build, settings)

    async def run(self, build, settings) -> Kernel:
        """Start the services of a process."""
        kernel = Kernel()
        build(kernel, settings)
        await kernel.start()
        self.stack.push_async_callback(kernel.stop)
        return kernel


async def until(condition) -> None:
    """Wait until a condition holds; fail after 20 s."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.02)


def connected(kernel: Kernel) -> bool:
    """Return whether an entry has a control stream to any sidecar."""
    peers = kernel.find("directory", Directory).peers
    return any(peer.connected for peer in peers.values())
