"""Calls of everything in the daemon that reads HTTP responses.

Each returns whether the response was taken for a good one, or raises an error.
"""

import asyncio
import contextlib
from functools import partial
from types import SimpleNamespace

import aiohttp

from skylarkdoor.clients import (
    EtcdTable,
    InstanceList,
    InstanceRecord,
    ObjectStore,
    PlatformError,
)
from skylarkdoor.tracing import SpanContext
from skylarkdoord.admin._instances import InstanceClient
from skylarkdoord.common import Platform
from skylarkdoord.direct._engine_reports import EngineReports
from skylarkdoord.entry._dispatch import Dispatcher
from skylarkdoord.entry._offers import AcceptedGrant
from skylarkdoord.exceptions import DaemonError
from skylarkdoord.planner._engine import EngineClient, Order
from skylarkdoord.sidecar import _answers
from skylarkdoord.sidecar._health import UpstreamWatch
from skylarkdoord.sidecar._owners import HttpOwners
from skylarkdoord.sidecar._upstream import UpstreamClient

from .sidecar.test_upstream import make_call

# Errors with which a reader may report a response.
EXPECTED = (aiohttp.ClientError, DaemonError, PlatformError)
NO_TLS = SimpleNamespace(
    request_arguments=lambda instance: {}, url=lambda address: f"http://{address}"
)


class StubAdapter:
    """An adapter that accepts any load report."""

    load_path = "/report"

    def decode_load(self, data):
        """Return the report as received."""
        return data


@contextlib.asynccontextmanager
async def closing(client):
    """Close a client at the end."""
    try:
        yield client
    finally:
        await client.close()


async def at_once(read, count):
    """Read a number of answers at the same time; raise the first error."""
    results = await asyncio.gather(
        *(read() for _ in range(count)), return_exceptions=True
    )
    errors = [error for error in results if error is not None]
    if errors:
        raise errors[0]


async def guard_report(address, count=1):
    """Poll the engine beside a guard, which does so once at a time."""
    reports = EngineReports(StubAdapter(), address, lambda report: None)
    try:
        return (await reports.poll()).load is not None
    finally:
        await reports.stop()


async def sidecar_answer(address, count=1):
    """Read the answers to requests that run at the same time."""

    async def read():
        async with client.open(make_call(), b"") as answer:
            await _answers.read_complete(answer, client.bodies)

    async with closing(UpstreamClient(f"http://{address}")) as client:
        await at_once(read, count)
    return True


async def sidecar_is_up(address):
    """Check whether an engine has crashed."""
    async with closing(UpstreamClient(f"http://{address}")) as client:
        return await client.is_up()


async def sidecar_health(address):
    """Check an engine's health once."""
    checked = asyncio.get_running_loop().create_future()
    watch = UpstreamWatch(f"http://{address}", checked.set_result)
    task = asyncio.create_task(watch.run())
    try:
        return await checked
    finally:
        task.cancel()


async def sidecar_state(address):
    """Read an engine's state."""
    async with closing(EngineClient(f"http://{address}")) as client:
        await client.state()
    return True


async def sidecar_order(address):
    """Send an order to an engine."""
    async with closing(EngineClient(f"http://{address}")) as client:
        await client.send(Order("load_model", "garden-7b"), fence=1)
    return True


async def sidecar_owner(address):
    """Ask the owner of a claim."""
    claim = SimpleNamespace(
        address=address, operation="op-1", incarnation=1, instance="sidecar-2"
    )
    async with closing(HttpOwners(NO_TLS)) as owners:
        return await owners.find_outcome(claim, wait_s=0.5) is not None


def request_and_grant(address):
    """Return a request and a grant of a sidecar."""
    request = SimpleNamespace(
        request_id="request-1",
        fingerprint=1,
        pool_name="assistant",
        is_sent=False,
        dispatches=0,
        headers={},
        body=b"",
        method="GET",
        path="/packets/1",
        streamed=False,
        idempotent=True,
        remaining_s=lambda: 5.0,
        resolved=SimpleNamespace(tier=SimpleNamespace(rank=0)),
        prompt_tokens=0,
        idempotency_key="",
        context=SpanContext(),
    )
    peer = SimpleNamespace(
        instance="sidecar-1",
        record=SimpleNamespace(http=address),
        disconnected=asyncio.Event(),
    )
    return request, AcceptedGrant(peer, 1, 1)


async def entry_answer(address, count=1):
    """Read answers of a sidecar at the same time."""

    async def read():
        delivery = await dispatcher.send(*request_and_grant(address))
        try:
            await delivery.read_body()
        finally:
            delivery.close()

    async with closing(Dispatcher(NO_TLS, Suspects())) as dispatcher:
        await at_once(read, count)
    return True


async def entry_outcome(address):
    """Ask a sidecar for the outcome of a request."""
    request, accepted = request_and_grant(address)
    async with closing(Dispatcher(NO_TLS, Suspects())) as dispatcher:
        return await dispatcher.query_outcome("GET", request, accepted) is not None


class Suspects:
    """Suspects of which there are none."""

    def of_pool(self, name):
        """Return the suspicions of a pool."""
        return SimpleNamespace(
            merge=lambda *args: None, get=lambda key: SimpleNamespace(open=())
        )


async def entry_status(address):
    """Read the status of an instance for an operator."""
    record = InstanceRecord("a", "sidecar", "north", "assistant", "live", address, "")
    async with closing(InstanceClient(None, NO_TLS)) as client:
        return (await client._status(record))["error"] is None


async def read_platform(client_class, read, address):
    """Read from one of the platform's services."""
    url = f"http://{address}"
    addresses = SimpleNamespace(table=(url,), objects=url, instances=url, weights=url)
    platform = Platform(addresses)
    await platform.start(None)
    try:
        client = client_class(platform.session, [url], timeout_s=5.0)
        await read(client)
    finally:
        await platform.stop()
    return True


READERS = {
    "guard report": guard_report,
    "sidecar answer": sidecar_answer,
    "sidecar crash check": sidecar_is_up,
    "sidecar health": sidecar_health,
    "sidecar engine state": sidecar_state,
    "sidecar order": sidecar_order,
    "sidecar owner": sidecar_owner,
    "entry answer": entry_answer,
    "entry outcome": entry_outcome,
    "entry status": entry_status,
    "table": partial(read_platform, EtcdTable, lambda table: table.get("a")),
    "objects": partial(read_platform, ObjectStore, lambda store: store.get("a")),
    "instances": partial(read_platform, InstanceList, lambda found: found.fetch()),
}
