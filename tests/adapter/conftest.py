"""Fixtures of the adapter's tests."""

import aiohttp
import pytest

from ._standins import HOST, Entry, Store, config, server_row


@pytest.fixture
async def store():
    """Return a running store."""
    async with Store() as running:
        yield running


class Caller:
    """An HTTP client of an entry."""

    def __init__(self, entry, session):
        self.entry = entry
        self.session = session

    def request(self, target, method="GET", headers=(), **options):
        """Return the context of a request with the headers that callers send."""
        defaults = {"Host": HOST, "Attempt-Id": "a1", "Deadline-Ms": "3000"}
        return self.session.request(
            method, self.entry.url + target, headers=defaults | dict(headers), **options
        )

    async def get(self, target="/desk/1", **options):
        """Send a request; return status, headers and body of the response."""
        async with self.request(target, **options) as response:
            return response.status, response.headers, await response.read()


@pytest.fixture
def start(store):
    """Return a context manager that runs an entry for routes and servers.

    It yields a `Caller` of the entry.
    """

    class RunningEntry:
        def __init__(self, routes, servers, **changes):
            self.routes, self.servers, self.changes = routes, servers, changes

        async def __aenter__(self):
            await store.put("op", "config", config(*self.routes, **self.changes))
            for number, server in enumerate(self.servers):
                await store.put("servers", f"i-{number}", server_row(server))
            self.entry = Entry(store)
            await self.entry.__aenter__()
            await self.entry.until_serving(len(self.servers))
            self.session = aiohttp.ClientSession()
            return Caller(self.entry, self.session)

        async def __aexit__(self, *exc):
            await self.session.close()
            await self.entry.__aexit__()

    return RunningEntry
