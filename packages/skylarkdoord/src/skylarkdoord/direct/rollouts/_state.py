"""What one entry knows of the roll-out of a service."""

from skylarkdoord.direct.rollouts._evidence import Evidence
from skylarkdoord.direct.rollouts._exposure import Exposure
from skylarkdoord.direct.rollouts._model import Decision, Phase

# Time without a decision after which nothing is sent to a version on trial, in seconds.
# A decision is repeated in each update between entries.
IN_TOUCH_S = 2.0


class RolloutState:
    """The roll-out of a service, as this entry knows it.

    Attributes:
        decision: The decision in force.
        heard_at: Monotonic time at which it was last heard of, in seconds.
        stopped: Why this entry sends nothing to the new version; empty if it does.
        evidence: What this entry saw.
        exposure: What it may send to the new version on trial.
    """

    def __init__(
        self,
        decision: Decision,
        heard_at: float,
        evidence: Evidence,
        exposure: Exposure,
    ) -> None:
        self.decision = decision
        self.heard_at = heard_at
        self.stopped = ""
        self.evidence = evidence
        self.exposure = exposure

    @property
    def version(self) -> str:
        """The new version."""
        return self.decision.order.version

    @property
    def avoided(self) -> frozenset[str]:
        """Versions to avoid if the new one is avoided too."""
        return frozenset((*self.decision.withheld, self.version))

    def may_use_new(self, now_s: float) -> bool:
        """Return whether the new version may get anything."""
        match self.decision.phase:
            case Phase.COMPLETED:
                return True
            case Phase.REVERTED:
                return False
            case Phase.HANDOVER:
                return not self.stopped
            case Phase.TRIAL:
                is_in_touch = now_s - self.heard_at < IN_TOUCH_S
                return is_in_touch and not self.stopped and self.decision.share > 0


def merged(first: tuple[str, ...], second: tuple[str, ...]) -> tuple[str, ...]:
    """Return the versions of two lists, each once, in an order that is the same."""
    return tuple(sorted({*first, *second}))
