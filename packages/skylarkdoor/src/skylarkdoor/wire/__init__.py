"""Messages between skylarkdoor processes and their generated code."""

from skylarkdoor.exceptions import OutboxFullError
from skylarkdoor.wire import peer_pb2 as pb
from skylarkdoor.wire._connection_errors import (
    CLOSED_CONNECTION_ERRORS,
    CONNECTION_LOST_ERRORS,
    translate_closed_connection,
)
from skylarkdoor.wire._duplex import run_duplex
from skylarkdoor.wire._outbox import Outbox
from skylarkdoor.wire.peer_grpc import EntriesBase, EntriesStub, PeerBase, PeerStub

__all__ = [
    "CLOSED_CONNECTION_ERRORS",
    "CONNECTION_LOST_ERRORS",
    "EntriesBase",
    "EntriesStub",
    "Outbox",
    "OutboxFullError",
    "PeerBase",
    "PeerStub",
    "pb",
    "run_duplex",
    "translate_closed_connection",
]
