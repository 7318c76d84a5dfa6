"""Services that carry roll-outs out: orders, lease, coordinator and peers.

The decisions are in `skylarkdoord.direct.rollouts`, without a network.
"""

from skylarkdoord.direct.rollout_services._attempts import (
    ObservedAttempt,
    RolloutAttempts,
)
from skylarkdoord.direct.rollout_services._rollouts import RolloutDependencies, Rollouts

__all__ = ["ObservedAttempt", "RolloutAttempts", "RolloutDependencies", "Rollouts"]
