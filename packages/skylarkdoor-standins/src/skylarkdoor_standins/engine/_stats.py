"""Counters of the engine's work."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any


@dataclass
class EngineStats:
    """Counters of requests and prompt tokens since the engine started.

    Attributes:
        executions: The number of times that each request ID was submitted.
        prefill_computed: The number of prompt tokens computed.
        prefill_cached: The number of prompt tokens taken from the prefix cache.
        prefill_wasted: The number of prompt tokens computed for requests that were
            cancelled or were running at a crash.
        completed: The number of requests that finished.
        cancelled: The number of requests that were cancelled.
    """

    executions: Counter[str] = field(default_factory=Counter)
    prefill_computed: int = 0
    prefill_cached: int = 0
    prefill_wasted: int = 0
    completed: int = 0
    cancelled: int = 0

    def as_dict(self) -> dict[str, Any]:
        """Return the counters as the HTTP API reports them."""
        return {
            "executions": dict(self.executions),
            "prefill": {
                "computed": self.prefill_computed,
                "cached": self.prefill_cached,
                "wasted": self.prefill_wasted,
            },
            "completed": self.completed,
            "cancelled": self.cancelled,
        }
