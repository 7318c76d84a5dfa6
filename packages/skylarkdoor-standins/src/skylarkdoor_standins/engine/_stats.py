"""What an engine has run so far."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any


@dataclass
class EngineStats:
    """Counts of requests and prompt tokens."""

    executions: Counter[str] = field(default_factory=Counter)
    prefill_computed: int = 0
    prefill_cached: int = 0
    prefill_wasted: int = 0
    completed: int = 0
    cancelled: int = 0

    def as_dict(self) -> dict[str, Any]:
        """Return the counts by name."""
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
