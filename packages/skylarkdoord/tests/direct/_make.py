"""Builders of records for the tests of direct dispatch."""

import time

from skylarkdoor_bench.testing import free_port
from skylarkdoord.direct import (
    Admitted,
    CallerRequest,
    Customer,
    DirectSettings,
    RepeatPolicy,
    Route,
    Target,
    UpstreamRecord,
)
from skylarkdoord.direct._settings import DirectListen

SERVICE = "engines"
LOOPBACK = "127.0.0.1"


def make_route(**changes):
    """Return a route of a resumable stream."""
    route = Route(
        name="notes",
        host="desk.example",
        prefix="/notes/",
        targets=(Target(SERVICE, 1.0),),
        is_stream=True,
        timeout_s=6.0,
        target_latency_s=0.6,
        rank=1,
        max_attempts=2,
    )
    return route._replace(**changes)


def make_request(**changes):
    """Return a request of 100 tokens that was just received and may take 6 s."""
    now = time.monotonic()
    request = CallerRequest(
        request_id="r1",
        method="POST",
        target="/notes/1?x=%2F",
        host="desk.example",
        headers=(("Content-Type", "text/plain"),),
        body=b"body",
        key="key-1",
        deadline=now + 6.0,
        received=now,
        prompt_tokens=80,
        max_tokens=20,
        has_token_counts=True,
    )
    return request._replace(**changes)


def make_customer(**changes):
    """Return a customer with a rate of 100 tokens per second and no burst."""
    customer = Customer(name="garden", keys=("key-1",), rate=100.0, counts_tokens=True)
    return customer._replace(**changes)


def make_admitted(request=None, route=None, customer=None, rank=0):
    """Return a request with its route, service, customer and tier."""
    request = request or make_request()
    route = route or make_route()
    return Admitted(
        request=request,
        route=route,
        service=SERVICE,
        customer=customer,
        rank=rank,
        deadline=min(request.deadline, request.received + route.timeout_s),
        first_byte_due=request.received + route.target_latency_s,
        version=1,
    )


def make_record(instance="i-1", **changes):
    """Return an upstream that accepts requests."""
    record = UpstreamRecord(
        instance=instance,
        service=SERVICE,
        address="127.0.0.1:9",
        data_centre="north",
        slots=2,
    )
    return record._replace(**changes)


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        """Return the time in seconds."""
        return self.now


IDEMPOTENT = RepeatPolicy.IDEMPOTENT


def make_settings(instance, guard_port=1):
    """Return the settings of an entry or a guard."""
    return DirectSettings(
        instance=instance,
        data_centre="north",
        adapter="none",
        store="127.0.0.1:1",
        listen=DirectListen(peers=f"{LOOPBACK}:{free_port()}", metrics="127.0.0.1:1"),
        guard_port=guard_port,
    )
