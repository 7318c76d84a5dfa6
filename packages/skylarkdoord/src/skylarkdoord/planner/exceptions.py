"""Errors of planning and of orders to the engine."""

from skylarkdoord.exceptions import DaemonError


class PlannerError(DaemonError):
    """Base of the planner's errors."""


class PlannerRowError(PlannerError):
    """A row of the planner can't be read."""


class DeposedError(PlannerError):
    """Another process holds the lease; nothing was written."""


class StalePlanError(PlannerError):
    """The plan was read too long ago to act on it."""


class FencedError(PlannerError):
    """The engine has seen a newer fencing number and refused the order."""


class EngineSilentError(PlannerError):
    """The engine did not answer; an order may be carried out all the same."""
