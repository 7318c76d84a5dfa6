"""Metrics of the engine in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Gauge, generate_latest

from skylarkdoor_standins.engine._batcher import Load


def render_metrics(load: Load) -> bytes:
    """Return the metrics of a load in the Prometheus text format."""
    registry = CollectorRegistry()
    running = Gauge("engine_requests_running", "In the batch.", registry=registry)
    waiting = Gauge("engine_requests_waiting", "Not in it yet.", registry=registry)
    usage = Gauge("engine_cache_usage_ratio", "Of the cache.", registry=registry)
    running.set(load.running)
    waiting.set(load.waiting)
    usage.set(load.cache_usage)
    return generate_latest(registry)
