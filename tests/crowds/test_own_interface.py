"""Tests of an entry of the own interface whose callers don't behave."""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from skylarkdoor.settings import Limits
from skylarkdoor_bench import api_key, small_demo
from skylarkdoor_standins import service

from ._connections import Crowd, Usage

ENTRY = "entry-1"
SIDECAR = "sidecar-registry-1"
MIB = 1024 * 1024
DESCRIPTORS = 256
# Descriptors that callers leave for the platform, sidecars and other processes.
KEPT_DESCRIPTORS = 32
LIMITS = Limits(max_body_bytes=4 * MIB, max_waiting_bytes=8 * MIB, body_timeout_s=60.0)
# Most memory beyond that of the entry at rest: the bodies within the limit, once as
# received and once as one, and 128 KiB for each connection.
MAX_MORE_MB = 2 * 8 + DESCRIPTORS // 8
CROWD_S = 4.0
ANSWER_TIMEOUT_S = 20.0
RETRY_S = 0.2

KEY = f"Authorization: Bearer {api_key('teika-garden')}\r\n".encode()
POST = b"POST /services/registry/handovers HTTP/1.1\r\nHost: a\r\n" + KEY
SHORT = POST + b"Content-Length: %d\r\n\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
GET = b"GET /services/registry/packets/1 HTTP/1.1\r\nHost: a\r\n"
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
NOISE = b"q7Z" * 20_000
FIELD = b"X-Noise: y\r\n"
ENDLESS = 64

# Connections and what each of them sends.
CASES = {
    "bodies one byte short": (60, [SHORT % (4 * MIB), b"x" * (4 * MIB - 1)]),
    "chunked bodies without end": (
        60,
        [CHUNKED, *[b"ea60\r\n" + NOISE + b"\r\n"] * 69],
    ),
    "bodies in chunks of one byte": (60, [CHUNKED, b"1\r\nx\r\n" * MIB]),
    "fields without end": (200, [GET, *[FIELD * 1000] * ENDLESS]),
    "one field without end": (200, [GET + b"X-Noise: ", *[NOISE] * ENDLESS]),
    "trailers without end": (200, [CHUNKED + b"0\r\n", *[FIELD * 1000] * ENDLESS]),
    "empty lines without end": (200, [b"\r\n" * 30_000] * ENDLESS),
    "silent": (300, []),
    "requests sent ahead": (60, [GET + KEY + b"\r\n"] * 5_000),
    "small requests sent ahead": (60, [HEALTH * 1000] * ENDLESS),
}
LARGE_BYTES = MIB
UNREAD = 150


@pytest.fixture
async def cluster(start_cluster):
    """Return a deployment of one entry and one service, with few descriptors."""
    demo = small_demo()
    cluster = await start_cluster(
        demo._replace(entries=demo.entries[:1], upstreams=demo.upstreams[2:])
    )
    process = cluster.processes[ENTRY]
    await process.kill()
    process.arguments = (
        "tests.crowds._limited",
        str(DESCRIPTORS),
        *process.arguments[1:],
    )
    await cluster.restart_at_new_addresses(ENTRY, LIMITS)
    await cluster.wait_connected()
    return cluster


@web.middleware
async def enlarge(request, handler):
    """Add to the answers of one path."""
    response = await handler(request)
    if request.path == "/packets/large":
        response.text += " " * LARGE_BYTES
    return response


@pytest.fixture
async def large_answers(cluster):
    """Let the service of the deployment be one with large answers."""
    app = service.create_app(latency_s=0.01, concurrency=16)
    app.middlewares.append(enlarge)
    async with TestServer(app) as server:
        url = str(server.make_url("")).rstrip("/")
        daemon = cluster.daemons[SIDECAR]
        upstream = daemon.settings.upstream._replace(url=url)
        settings = daemon.settings._replace(upstream=upstream)
        cluster.daemons[SIDECAR] = daemon._replace(settings=settings)
        await cluster.processes[SIDECAR].kill()
        await cluster.restart_at_new_addresses(SIDECAR)
        await cluster.wait_connected()
        yield


async def until_served(cluster):
    """Send an ordinary request, again while it is refused; return its status."""
    url = f"{cluster.entry_urls[0]}/services/registry/packets/1"
    headers = {"Authorization": f"Bearer {api_key('teika-garden')}"}
    status = None
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while status != 200:
                await asyncio.sleep(RETRY_S)
                status = await ask(url, headers)
    except TimeoutError:
        pass
    return status


async def ask(url, headers):
    """Send a request on a connection of its own; return its status if answered."""
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url, headers=headers) as response:
                return response.status
    except aiohttp.ClientError:
        return None


class TestCallers:
    """Callers that hold an entry's memory or descriptors."""

    # Guards against an entry that callers end, or that serves nobody else.
    @pytest.mark.parametrize("case", CASES)
    async def test_crowd(self, cluster, case):
        """The entry lives within its limits and answers an ordinary request."""
        count, parts = CASES[case]
        process = cluster.processes[ENTRY]
        usage = Usage(process.pid)
        at_rest_mb = usage.peak_mb
        address = cluster.daemons[ENTRY].settings.listen.callers
        async with Crowd(address, count, parts):
            await asyncio.sleep(CROWD_S)
            descriptors = usage.descriptors
            status = await until_served(cluster)
            assert process.is_running
            more_mb = usage.peak_mb - at_rest_mb
        assert more_mb <= MAX_MORE_MB
        assert descriptors <= DESCRIPTORS - KEPT_DESCRIPTORS
        assert status == 200

    # Guards against an entry that can't reach sidecars for connections of others.
    async def test_internal(self, cluster):
        """Silent connections to the internal address leave descriptors."""
        process = cluster.processes[ENTRY]
        address = cluster.daemons[ENTRY].settings.listen.internal
        async with Crowd(address, 2 * DESCRIPTORS, []):
            await asyncio.sleep(CROWD_S)
            descriptors = Usage(process.pid).descriptors
            status = await until_served(cluster)
            assert process.is_running
        assert descriptors <= DESCRIPTORS - KEPT_DESCRIPTORS
        assert status == 200

    # Guards against an entry that callers end with answers that they don't read.
    @pytest.mark.usefixtures("large_answers")
    async def test_unread_answers(self, cluster):
        """Large answers that nobody reads stay within the limits."""
        process = cluster.processes[ENTRY]
        usage = Usage(process.pid)
        assert await until_served(cluster) == 200
        at_rest_mb = usage.peak_mb
        address = cluster.daemons[ENTRY].settings.listen.callers
        request = GET.replace(b"packets/1", b"packets/large") + KEY + b"\r\n"
        async with Crowd(address, UNREAD, [request], receive_bytes=4096):
            await asyncio.sleep(CROWD_S)
            status = await until_served(cluster)
            assert process.is_running
            more_mb = usage.peak_mb - at_rest_mb
        assert more_mb <= MAX_MORE_MB
        assert status == 200
