"""Exceptions of the planner and of orders to the engine."""

from skylarkdoord.exceptions import DaemonError


class PlannerError(DaemonError):
    """Base class of the planner's exceptions."""


class PlannerRowError(PlannerError):
    """A row of the planner cannot be decoded."""


class SupersededError(PlannerError):
    """Another process has taken over the lease or the engine; nothing was written."""


class StalePlanError(PlannerError):
    """The plan, or the check of the engine's owner, is too old to act on."""


class FencedError(PlannerError):
    """The engine has seen a higher fencing number and refused the order."""


class EngineUnavailableError(PlannerError):
    """The engine did not answer; it may still carry out an order sent to it."""
