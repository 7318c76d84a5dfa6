"""Computes the request capacity of a deployment's engines from their speeds."""

from collections.abc import Iterable, Sequence

from skylarkdoor_bench._deployments import Deployment, EngineSpec
from skylarkdoor_bench._trace import Arrival

# Share of a full batch above which further sequences add no throughput.
KNEE_SHARE = 0.5
# Share of the words of shared prefixes that are found in the engines' caches.
CACHED_PREFIX_SHARE = 0.5
# Delay that the event loop's timer adds to each step of an engine.
STEP_OVERHEAD_S = 0.0006


def engine_seconds(engine: EngineSpec, arrival: Arrival, *, time_scale: float) -> float:
    """Return the engine time that a request takes when the batch is full."""
    words = arrival.prompt_words + arrival.prefix_words * (1 - CACHED_PREFIX_SHARE)
    prefill_s = words / (engine.prefill_tps * time_scale)
    step_s = 1 / (engine.decode_tps * time_scale) + STEP_OVERHEAD_S
    decode_s = arrival.max_tokens * step_s / (engine.max_batch * KNEE_SHARE)
    return prefill_s + decode_s


def capacity_per_s(deployment: Deployment, arrivals: Sequence[Arrival]) -> float:
    """Return how many requests per second all engines together can complete.

    Calls of plain services in the sample are counted but take no engine time.

    Args:
        deployment: The deployment.
        arrivals: A representative sample of the requests.
    """
    engines = [spec for spec in deployment.upstreams if isinstance(spec, EngineSpec)]
    rates = (
        len(arrivals) / _total_s(engine, arrivals, deployment.time_scale)
        for engine in engines
    )
    return sum(rates)


def _total_s(
    engine: EngineSpec, arrivals: Iterable[Arrival], time_scale: float
) -> float:
    return sum(
        engine_seconds(engine, arrival, time_scale=time_scale)
        for arrival in arrivals
        if arrival.kind != "service"
    )
