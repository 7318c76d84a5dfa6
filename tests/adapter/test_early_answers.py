"""Servers that answer a long upload at once."""

import asyncio
import contextlib
import re
import socket
import struct
import threading
import time
from typing import NamedTuple

import pytest

from ._standins import LOOPBACK, SIGNATURE, event, receive, route

KINDS = {
    "idempotent": route(maxAttempts=2),
    "once": route(routeType="non_idempotent", maxAttempts=2),
    "stream": route(routeType="streaming", maxAttempts=2),
}
PART = event(1) + event(2)[:5]
UPLOAD = b"u" * 3_000_000
# Longest time for which a server waits, in seconds.
TIMEOUT_S = 5.0


class Early(NamedTuple):
    """What a server does after the head of a request.

    Attributes:
        reads: Bytes of the upload that it reads first.
        pause_s: Pause between its answer and the reset, in seconds.
        is_half_closed: Whether it ends its answer before the pause.
        reads_on: Whether it reads the rest of the upload instead of a reset.
    """

    reads: int = 0
    pause_s: float = 0.0
    is_half_closed: bool = False
    reads_on: bool = False


class EarlyServer:
    """A server with blocking sockets, whose buffers hold only what it is sent.

    Args:
        early: What it does after the head of a request.

    Attributes:
        requests: Number of requests.
        arrived: Set when a request has arrived.
        may_answer: Set to let it answer.
        ended: Set when it has reset a connection.
    """

    slots = 4

    def __init__(self, early):
        self.early = early
        self.requests = 0
        self.arrived = threading.Event()
        self.may_answer = threading.Event()
        self.ended = threading.Event()

    def __enter__(self):
        """Listen on a free port."""
        self.listener = socket.create_server((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self.run)
        self.thread.start()
        return self

    def __exit__(self, *exc):
        """Close the listener."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.thread.join()
        self.listener.close()

    def run(self):
        """Serve one connection after the other."""
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                connection.settimeout(TIMEOUT_S)
                with connection, contextlib.suppress(OSError):
                    self.serve(connection)
                self.ended.set()

    def serve(self, connection):
        """Answer a request at once, with a part of a body; then reset."""
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(1024)
            if not part:
                return
            data += part
        self.requests += 1
        attempt = re.search(rb"Attempt-Id: (\w+)", data)[1]
        left = self.early.reads
        while left > 0:
            left -= len(connection.recv(left))
        self.arrived.set()
        self.may_answer.wait(TIMEOUT_S)
        fields = b"Attempt-Id: %s\r\nServer-Signature: %s\r\n"
        head = b"HTTP/1.1 200 OK\r\n" + fields % (attempt, SIGNATURE.encode())
        connection.sendall(head + b"\r\n" + PART)
        if self.early.is_half_closed:
            connection.shutdown(socket.SHUT_WR)
        time.sleep(self.early.pause_s)
        if self.early.reads_on:
            while connection.recv(100_000):
                pass
            return
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def stand_still(server):
    """Let the event loop stand still from each answer to the reset that follows."""
    while True:
        while not server.arrived.is_set():
            await asyncio.sleep(0.001)
        server.arrived.clear()
        server.ended.clear()
        server.may_answer.set()
        server.ended.wait(TIMEOUT_S)
        server.may_answer.clear()


async def upload(caller):
    """Send a request; return status, body and whether the body is complete."""
    return await receive(caller.request("/desk/1", "POST", data=UPLOAD))


class TestReset:
    """An answer without a length, of which a part arrives before a reset."""

    # Guards against the report: clients got the part of an answer that arrived before a
    # reset as a complete answer.
    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("is_still", [False, True])
    @pytest.mark.parametrize(
        "early",
        [
            Early(),
            Early(pause_s=0.02),
            Early(pause_s=0.1),
            Early(reads=50_000),
            Early(reads=50_000, pause_s=0.1),
            Early(is_half_closed=True),
            Early(pause_s=0.1, is_half_closed=True),
            Early(reads=50_000, pause_s=0.1, is_half_closed=True),
        ],
        ids=str,
    )
    async def test_not_complete(self, start, kind, is_still, early):
        """The part is no complete answer, and what may run once runs once."""
        limits = {"maxBodyBytes": 2 * len(UPLOAD)}
        with EarlyServer(early) as server:
            async with start([KINDS[kind]], [server], limits=limits) as caller:
                if is_still:
                    still = asyncio.create_task(stand_still(server))
                else:
                    server.may_answer.set()
                status, body, is_whole = await upload(caller)
                if is_still:
                    still.cancel()
        if status == 502:
            assert is_whole
            assert b"outcome_unknown" in body
        else:
            assert kind == "stream"
            assert (status, body, is_whole) == (200, event(1), False)
        assert server.requests == (2 if kind == "idempotent" else 1)


class TestHalfClosed:
    """An answer without a length that ends in an orderly way."""

    # Guards against a check that takes such an answer for one that was broken off.
    @pytest.mark.parametrize("kind", ["idempotent", "once"])
    @pytest.mark.parametrize("pause_s", [0.0, 0.1, 1.5])
    async def test_complete(self, start, kind, pause_s):
        """It is complete if the server reads on, or does nothing for a second."""
        early = Early(pause_s=pause_s, is_half_closed=True, reads_on=True)
        limits = {"maxBodyBytes": 2 * len(UPLOAD)}
        with EarlyServer(early) as server:
            server.may_answer.set()
            async with start([KINDS[kind]], [server], limits=limits) as caller:
                assert await upload(caller) == (200, PART, True)
        assert server.requests == 1
