"""Callers' connections: what each one does, and what all of them may take."""

from skylarkdoord.ingress._connection import CallerConnection, on_body_complete
from skylarkdoord.ingress._server import Handler, IngressServer
from skylarkdoord.ingress._state import ConnectionState, Phase
from skylarkdoord.ingress._table import ConnectionTable

__all__ = [
    "CallerConnection",
    "ConnectionState",
    "ConnectionTable",
    "Handler",
    "IngressServer",
    "Phase",
    "on_body_complete",
]
