"""Metrics of a sidecar."""

from prometheus_client import Counter, Gauge

OFFERS = Counter("skylarkdoor_sidecar_offers_total", "Offers received.", ["tier"])
GRANTS = Counter("skylarkdoor_sidecar_grants_total", "Grants given.", ["tier"])
LOST_GRANTS = Counter(
    "skylarkdoor_sidecar_lost_grants_total", "Grants that were not used."
)
LOST_GRANT_SECONDS = Counter(
    "skylarkdoor_sidecar_lost_grant_seconds_total",
    "Time for which unused grants reserved a slot.",
)
REFUSALS = Counter(
    "skylarkdoor_sidecar_refusals_total", "Offers refused.", ["tier", "reason"]
)
WAITING = Gauge("skylarkdoor_sidecar_waiting", "Offers waiting in the queue.")
RUNNING = Gauge("skylarkdoor_sidecar_running", "Requests granted or in the upstream.")
LIMIT = Gauge(
    "skylarkdoor_sidecar_limit",
    "Maximum number of requests granted or in the upstream.",
)
DRAIN_RATE = Gauge(
    "skylarkdoor_sidecar_drain_per_second", "Offers that leave the queue per second."
)
PREFILL_SPEED = Gauge(
    "skylarkdoor_sidecar_prefill_tokens_per_second", "Estimated prefill speed."
)
DECODE_SPEED = Gauge(
    "skylarkdoor_sidecar_decode_tokens_per_second",
    "Estimated decode speed of one request.",
)
SLOWDOWN = Gauge(
    "skylarkdoor_sidecar_slowdown_ratio",
    "Ratio of the current to the typical time between tokens.",
)
