"""Tests of the operator's limits on connections of callers."""

import asyncio

import pytest

from ._standins import HOST, Server, config, reply, route

LIMITS = {
    "maxHeaderBytes": 8000,
    "maxBodyBytes": 100_000,
    "headerTimeoutMs": 600,
    "idleTimeoutMs": 1000,
}
HEAD = f"POST /desk/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: a1\r\n".encode()
BODY = b"Deadline-Ms: 20000\r\nContent-Length: 50000\r\n\r\n"
# Each needs less than the idle timeout, with or without a timeout of its own.
CASES = {
    "nothing": (b"", b""),
    "empty lines": (b"\r\n", b""),
    "unfinished head": (HEAD, b"408"),
    "unfinished body": (HEAD + BODY + b"x" * 49_999, b"408"),
    "large field": (HEAD + b"X: " + b"x" * 8000 + b"\r\n\r\n", b"431"),
    "large unfinished field": (HEAD + b"X: " + b"x" * 20_000, b"431"),
    "large trailer": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + b"x" * 20_000,
        b"",
    ),
}


def content_length(head):
    """Return the length of an answer's body."""
    lines = head.lower().splitlines()
    length = next(line for line in lines if line.startswith(b"content-length:"))
    return int(length.partition(b":")[2])


@pytest.fixture
async def connect(store, start):
    """Return a function that opens a connection to an entry with these limits."""
    async with Server(reply()) as server, start([route()], [server]) as caller:
        await store.put("op", "config", config(route(), version=4, limits=LIMITS))
        fleet = caller.entry.kernel.services["callers"].fleet
        await caller.entry.until(lambda: fleet.table.config.version == 4)
        address = caller.entry.settings.listen.callers.split(":")

        async def opened():
            reader, writer = await asyncio.open_connection(*address)
            writers.append(writer)
            return reader, writer

        writers = []
        yield opened
        for writer in writers:
            writer.close()
        assert (await caller.get())[0] == 200


class TestCallerLimits:
    """A connection of a caller, under limits of a version that came later."""

    # Guards against connections that hold memory and a descriptor for ever.
    @pytest.mark.parametrize("case", CASES)
    async def test_beyond(self, connect, case):
        """One that is beyond a limit is closed, where possible with a status."""
        sent, status = CASES[case]
        reader, writer = await connect()
        writer.write(sent[:1000])
        await asyncio.sleep(0.05)
        writer.write(sent[1000:])
        async with asyncio.timeout(5):
            try:
                answer = await reader.read()
            except ConnectionError:
                answer = b""
        assert answer[9:12] == status

    # Guards against limits that meet callers who keep within them.
    async def test_within(self, connect):
        """A slow head, a slow body and pauses within the limits are served."""
        reader, writer = await connect()
        parts = [HEAD[:20], HEAD[20:], BODY, b"x" * 49_999, b"x"]
        for _ in range(2):
            await asyncio.sleep(0.4)
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0.15)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            await reader.readexactly(content_length(head))


class TestSentAhead:
    """Requests that are sent while another one is being answered."""

    # Guards against requests without end that wait on a few connections.
    async def test_held_back(self, connect):
        """Few are read ahead, and each is answered in its turn."""
        reader, writer = await connect()
        request = HEAD + b"Deadline-Ms: 9000\r\nContent-Length: 4000\r\n\r\n"
        request += b"x" * 4000
        count = 300

        async def send():
            for _ in range(count):
                writer.write(request)
                await writer.drain()

        sending = asyncio.create_task(send())
        for _ in range(count):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            await reader.readexactly(content_length(head))
        await sending
