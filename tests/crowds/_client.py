"""A crowd of callers in a process of its own.

It reads its plan, one line of JSON, from standard input; all its connections send the
same bytes. It writes a line once no connection gets on, holds them until its standard
input ends, and then writes what became of them. It stops by itself after a time.
"""

import json
import selectors
import socket
import sys
import time
from typing import TypedDict

# Time without a byte sent or read after which nothing more is expected, in seconds.
STILL_S = 2.0
# Longest time until the crowd counts as settled, and until it ends, in seconds.
SETTLE_S = 12.0
LIFETIME_S = 120.0
POLL_S = 0.1
MAX_READ_BYTES = 256 * 1024
UNREAD_BUFFER_BYTES = 4096
# Small, so that a connection only gets on while the entry reads from it.
SEND_BUFFER_BYTES = 64 * 1024


class Plan(TypedDict):
    """What a crowd does.

    Attributes:
        address: Host and port.
        connections: Number of connections.
        begin: Characters that each connection sends first.
        repeated: Characters that it sends then.
        repeats: How often it sends them.
        end: Characters that it sends last.
        piece_bytes: Most bytes that a connection sends before the next one's turn.
        reads: Whether answers are read.
    """

    address: list
    connections: int
    begin: str
    repeated: str
    repeats: int
    end: str
    piece_bytes: int
    reads: bool


class Connection:
    """One connection of the crowd.

    Attributes:
        sent: Bytes sent so far.
        is_closed: Whether the other side has closed it.
    """

    def __init__(self, plan: Plan) -> None:
        self.sent = 0
        self.is_closed = False
        self.socket = socket.socket()
        self.socket.setblocking(False)
        size = SEND_BUFFER_BYTES
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        if not plan["reads"]:
            size = UNREAD_BUFFER_BYTES
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        self.socket.connect_ex(tuple(plan["address"]))


class Crowd:
    """Connections that all send the same bytes.

    Args:
        plan: What they do.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        text = plan["begin"] + plan["repeated"] * plan["repeats"] + plan["end"]
        self.payload = memoryview(text.encode("latin-1"))
        self.selector = selectors.DefaultSelector()
        self.progress_at = time.monotonic()
        self.connections = [Connection(plan) for _ in range(plan["connections"])]
        for connection in self.connections:
            self.watch(connection)

    def watch(self, connection: Connection) -> None:
        """Wait for what a connection can do next."""
        events = selectors.EVENT_READ if self.plan["reads"] else 0
        if connection.sent < len(self.payload):
            events |= selectors.EVENT_WRITE
        if connection.socket in self.selector.get_map():
            self.selector.unregister(connection.socket)
        if events and not connection.is_closed:
            self.selector.register(connection.socket, events, connection)

    def serve(self, events: list) -> None:
        """Let each connection that is ready send and read once."""
        for key, mask in events:
            connection = key.data
            self.progress_at = time.monotonic()
            try:
                self.step(connection, mask)
            except BlockingIOError:
                pass
            except OSError:
                connection.is_closed = True
            if connection.is_closed or connection.sent == len(self.payload):
                self.watch(connection)

    def step(self, connection: Connection, mask: int) -> None:
        """Send the next piece and read what has arrived."""
        if mask & selectors.EVENT_WRITE:
            piece = self.payload[connection.sent :][: self.plan["piece_bytes"]]
            connection.sent += connection.socket.send(piece)
        if mask & selectors.EVENT_READ:
            connection.is_closed = not connection.socket.recv(MAX_READ_BYTES)

    def settle(self) -> None:
        """Send until no connection gets on, at most for a time."""
        until = time.monotonic() + SETTLE_S
        while time.monotonic() < until:
            if time.monotonic() - self.progress_at > STILL_S:
                return
            self.serve(self.selector.select(POLL_S))

    def hold(self, until: float) -> None:
        """Go on until standard input ends."""
        self.selector.register(sys.stdin, selectors.EVENT_READ)
        while time.monotonic() < until:
            events = self.selector.select(POLL_S)
            if any(key.fileobj is sys.stdin for key, _ in events):
                return
            self.serve(events)

    def report(self) -> dict:
        """Return what became of the connections."""
        return {
            "connections": len(self.connections),
            "sent_bytes": sum(connection.sent for connection in self.connections),
            "whole": sum(c.sent == len(self.payload) for c in self.connections),
            "closed": sum(connection.is_closed for connection in self.connections),
        }


def main() -> None:
    """Run the crowd that standard input describes."""
    end_at = time.monotonic() + LIFETIME_S
    crowd = Crowd(json.loads(sys.stdin.readline()))
    crowd.settle()
    print(json.dumps(crowd.report()), flush=True)
    crowd.hold(end_at)
    print(json.dumps(crowd.report()), flush=True)


if __name__ == "__main__":
    main()
