"""What the engines of a deployment can carry, computed from their speeds."""

from collections.abc import Iterable, Sequence

from skylarkdoor_bench._deployments import Deployment, EngineSpec
from skylarkdoor_bench._trace import Arrival

# Share of a full batch from which a further sequence adds no throughput.
KNEE_SHARE = 0.5
# Share of the words of shared prefixes that engines find in their caches.
CACHED_PREFIX_SHARE = 0.5
# What a timer of the event loop adds to each step of an engine.
STEP_OVERHEAD_S = 0.0006


def engine_seconds(engine: EngineSpec, arrival: Arrival, *, time_scale: float) -> float:
    """Return the time that a request takes of an engine with a full batch."""
    words = arrival.prompt_words + arrival.prefix_words * (1 - CACHED_PREFIX_SHARE)
    prefill_s = words / (engine.prefill_tps * time_scale)
    step_s = 1 / (engine.decode_tps * time_scale) + STEP_OVERHEAD_S
    decode_s = arrival.max_tokens * step_s / (engine.max_batch * KNEE_SHARE)
    return prefill_s + decode_s


def capacity_per_s(deployment: Deployment, arrivals: Sequence[Arrival]) -> float:
    """Return how many requests of a mix all engines together finish a second.

    Calls of plain services in the mix are counted and take no engine's time.
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
