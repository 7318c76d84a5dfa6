"""Roll-outs of software versions: decisions, without a network."""

from skylarkdoord.direct.rollouts._evidence import Evidence, Running, sum_reports
from skylarkdoord.direct.rollouts._gate import RolloutGate
from skylarkdoord.direct.rollouts._history import EvidenceHistory
from skylarkdoord.direct.rollouts._judgement import judge
from skylarkdoord.direct.rollouts._model import (
    Capacity,
    Cell,
    CellCounts,
    Decision,
    Outcome,
    Phase,
    Recent,
    Report,
    RolloutBounds,
    RolloutOrder,
    Verdict,
    Versions,
)
from skylarkdoord.direct.rollouts._phases import (
    first_decision,
    next_decision,
    withheld_after,
)

__all__ = [
    "Capacity",
    "Cell",
    "CellCounts",
    "Decision",
    "Evidence",
    "EvidenceHistory",
    "Outcome",
    "Phase",
    "Recent",
    "Report",
    "RolloutBounds",
    "RolloutGate",
    "RolloutOrder",
    "Running",
    "Verdict",
    "Versions",
    "first_decision",
    "judge",
    "next_decision",
    "sum_reports",
    "withheld_after",
]
