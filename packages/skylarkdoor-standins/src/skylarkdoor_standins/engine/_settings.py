"""Settings of the engine, fixed when it starts."""

from enum import StrEnum
from typing import NamedTuple


class Fencing(StrEnum):
    """How the engine handles the fencing numbers of orders."""

    CHECK = "check"
    """Refuse an order whose number is lower than that of an earlier order."""
    IGNORE = "ignore"
    """Apply every order."""


class EngineSettings(NamedTuple):
    """The model, speeds and limits of an engine.

    Attributes:
        model: The model that is loaded at the start.
        prefill_tps: The number of prompt tokens computed per second.
        decode_tps: The number of tokens per second generated for a sequence that is
            alone in the batch.
        max_batch: The maximum number of sequences in the batch.
        cache_tokens: The capacity of the prefix cache in tokens.
        fencing: How the fencing numbers of orders are handled.
        load_lag_s: The age of the reported load, in seconds.
        seed: The seed of the random choice of lost cache events.
        time_scale: The factor by which steps and the loading of models are sped up.
        crash_on: The process exits when it runs a prompt that contains this text;
            empty for none.
    """

    model: str
    prefill_tps: float = 4000.0
    decode_tps: float = 40.0
    max_batch: int = 16
    cache_tokens: int = 65536
    fencing: Fencing = Fencing.CHECK
    load_lag_s: float = 1.0
    seed: int = 1
    time_scale: float = 1.0
    crash_on: str = ""
