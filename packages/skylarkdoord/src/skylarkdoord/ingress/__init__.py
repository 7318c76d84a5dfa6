"""Callers' connections: what each one does, and what all of them may take."""

from skylarkdoord.ingress._closed import ClosedConnections, Reason
from skylarkdoord.ingress._connection import CallerConnection, on_body_complete
from skylarkdoord.ingress._connection_limit import ConnectionLimit
from skylarkdoord.ingress._server import Handler, IngressServer
from skylarkdoord.ingress._signals import IngressSignals
from skylarkdoord.ingress._state import ConnectionState, Phase
from skylarkdoord.ingress._table import ConnectionTable

__all__ = [
    "CallerConnection",
    "ClosedConnections",
    "ConnectionLimit",
    "ConnectionState",
    "ConnectionTable",
    "Handler",
    "IngressServer",
    "IngressSignals",
    "Phase",
    "Reason",
    "on_body_complete",
]
