"""Tests of what a crowd may cost beyond what is counted."""

import time
import tracemalloc
from types import SimpleNamespace

from skylarkdoord.direct._caller_bodies import read_chunks
from skylarkdoord.direct._held_bytes import BodyHold, HeldBytes
from skylarkdoord.ingress import (
    ConnectionLimit,
    ConnectionState,
    ConnectionTable,
    Phase,
    Reason,
)

PIECES = 50_000


class Pieces:
    """A body that arrives in pieces of two bytes."""

    def __init__(self):
        self.left = PIECES

    async def readany(self):
        """Return the next piece."""
        self.left -= 1
        return bytes(bytearray(b"xy")) if self.left >= 0 else b""


class Busy:
    """A connection that may not be closed for another one."""

    looked = 0

    def __init__(self):
        now = time.monotonic()
        self.state = ConnectionState.opened(now)
        self.state.enter(Phase.ANSWER, now)

    @property
    def is_busy(self):
        """Count that somebody looked."""
        Busy.looked += 1
        return True

    def close_now(self):
        """Close it."""

    def refuse(self, reason: Reason):
        """Accept no more."""


class TestBodies:
    """`read_chunks`."""

    # Guards against bodies that take far more memory than counts as held.
    async def test_small_pieces(self):
        """A body in pieces takes no more than some copies of it."""
        held = HeldBytes(10**8)
        raw = SimpleNamespace(content=Pieces(), protocol=None)
        tracemalloc.start()
        try:
            await read_chunks(raw, BodyHold(held), 10**7)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak < 10 * held.bodies


class TestAccepts:
    """`ConnectionTable.add`."""

    # Guards against a look at all connections for each one that is accepted.
    def test_full_and_busy(self):
        """Connections beyond the limit are cheap while no other can be closed."""
        most = 1000
        table = ConnectionTable(limit=ConnectionLimit(max_connections=most))
        for _ in range(most):
            table.add(Busy())
        Busy.looked = 0
        for _ in range(100):
            table.add(Busy())
        assert Busy.looked < 10 * most
