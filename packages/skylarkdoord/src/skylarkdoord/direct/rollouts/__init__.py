"""Roll-outs of software versions: decisions, without a network."""

from skylarkdoord.direct.rollouts._model import (
    Capacity,
    Cell,
    CellCounts,
    Decision,
    Outcome,
    Phase,
    Report,
    RolloutBounds,
    RolloutOrder,
    Verdict,
    Versions,
)

__all__ = [
    "Capacity",
    "Cell",
    "CellCounts",
    "Decision",
    "Outcome",
    "Phase",
    "Report",
    "RolloutBounds",
    "RolloutOrder",
    "Verdict",
    "Versions",
]
