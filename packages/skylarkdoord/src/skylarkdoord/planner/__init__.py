"""Planning of a pool: the lease, the plan and the orders to the engine."""

from skylarkdoord.planner._planner import Planner

__all__ = ["Planner"]
