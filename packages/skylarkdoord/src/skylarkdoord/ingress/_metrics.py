"""Metrics of callers' connections."""

from prometheus_client import Counter, Gauge

CONNECTIONS = Gauge(
    "skylarkdoor_callers_connections",
    "Open connections of callers, by what they do.",
    ["phase"],
)
LIMIT = Gauge(
    "skylarkdoor_callers_connections_limit",
    "Most connections that callers may have.",
)
READ_SECONDS = Counter(
    "skylarkdoor_callers_read_seconds_total",
    "Time that the event loop spent on bytes received from callers.",
)
CLOSED = Counter(
    "skylarkdoor_callers_closed_total",
    "Connections of callers that were closed for a limit, by reason.",
    ["reason"],
)
