"""What an engine is started with."""

from enum import StrEnum
from typing import NamedTuple


class Fencing(StrEnum):
    """What the engine does with an order that bears an older fencing number."""

    CHECK = "check"
    IGNORE = "ignore"


class EngineSettings(NamedTuple):
    """An engine's model, speeds and limits.

    ``prefill_tps`` is the prompt tokens a second that the engine computes,
    ``decode_tps`` the tokens a second of a lone sequence. ``time_scale``
    multiplies both. The process ends while it runs a prompt that contains the text
    of ``crash_on``.
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
