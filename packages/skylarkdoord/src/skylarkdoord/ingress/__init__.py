"""Callers' connections: what each one does, and what all of them may take."""

from skylarkdoord.ingress._application import ApplicationRunner, set_up
from skylarkdoord.ingress._chunks import Chunks
from skylarkdoord.ingress._closed import ClosedConnections, Reason
from skylarkdoord.ingress._connection import (
    CallerConnection,
    give_up_body,
    on_body_complete,
    refuse_body,
    set_body_timeout,
)
from skylarkdoord.ingress._connection_limit import ConnectionLimit
from skylarkdoord.ingress._incomplete import IncompleteBodies
from skylarkdoord.ingress._limits import IngressLimits, LimitSource
from skylarkdoord.ingress._server import Handler, IngressServer
from skylarkdoord.ingress._signals import IngressSignals
from skylarkdoord.ingress._state import ConnectionState, Phase
from skylarkdoord.ingress._sweeper import ConnectionSweeper
from skylarkdoord.ingress._table import ConnectionTable

__all__ = [
    "ApplicationRunner",
    "CallerConnection",
    "Chunks",
    "ClosedConnections",
    "ConnectionLimit",
    "ConnectionState",
    "ConnectionSweeper",
    "ConnectionTable",
    "Handler",
    "IncompleteBodies",
    "IngressLimits",
    "IngressServer",
    "IngressSignals",
    "LimitSource",
    "Phase",
    "Reason",
    "give_up_body",
    "on_body_complete",
    "refuse_body",
    "set_body_timeout",
    "set_up",
]
