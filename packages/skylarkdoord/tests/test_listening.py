"""Tests of listeners whose port is taken."""

import asyncio
import errno
import socket

import pytest

from skylarkdoor.exceptions import StoppingError
from skylarkdoor.kernel import Kernel
from skylarkdoord import _listening
from skylarkdoord._listening import open_port

ADDRESS = "127.0.0.1:0"


class Listener:
    """A listener that can't be opened a number of times."""

    def __init__(self, failures, number=errno.EADDRINUSE):
        self.failures = failures
        self.number = number
        self.failed = asyncio.Event()
        self.is_open = False

    async def open(self, host, port):
        """Open it."""
        if self.failures:
            self.failures -= 1
            self.failed.set()
            raise OSError(self.number, "not now")
        self.is_open = True


class TestOpenPort:
    """`open_port`."""

    # Guards against a process that ends as its former one still holds the port.
    async def test_taken_for_a_while(self):
        """It is tried again until it is free."""
        listener = Listener(3)
        await open_port(Kernel(), ADDRESS, listener.open)
        assert listener.is_open

    async def test_taken_for_good(self, monkeypatch):
        """The error is raised in the end."""
        monkeypatch.setattr(_listening, "PORT_TIMEOUT_S", 0.0)
        listener = Listener(1000)
        with pytest.raises(OSError, match="not now"):
            await open_port(Kernel(), ADDRESS, listener.open)

    async def test_other_error(self):
        """An error that does not pass is raised at once."""
        listener = Listener(1, errno.EACCES)
        with pytest.raises(PermissionError):
            await open_port(Kernel(), ADDRESS, listener.open)

    # Guards against a process that does not stop while it waits for a port.
    async def test_stopped_meanwhile(self):
        """A request to stop the process ends the attempts."""
        kernel = Kernel()
        listener = Listener(1000)
        opening = asyncio.create_task(open_port(kernel, ADDRESS, listener.open))
        await listener.failed.wait()
        kernel.request_stop()
        with pytest.raises(StoppingError):
            await opening


class TestOpenSite:
    """`open_site`."""

    async def test_taken_for_a_while(self):
        """The HTTP listener opens once its port is free."""
        from aiohttp import web

        async def answer(request):
            return web.Response()

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            opening = asyncio.create_task(
                _listening.open_site(Kernel(), address, runner)
            )
            await asyncio.sleep(0.1)
            assert not opening.done()
        await opening
        assert len(runner.sites) == 1
        await runner.cleanup()
