"""Plans what each engine of a pool serves and applies the plan to the engine.

One sidecar of a pool holds the planner's lease and writes the plan. Every sidecar
of the pool sends its own engine the orders that bring it in line with the plan.
"""

from skylarkdoord.planner._planner import Planner

__all__ = ["Planner"]
