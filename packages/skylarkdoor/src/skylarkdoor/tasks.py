"""Cancellation of tasks."""

from skylarkdoor._tasks import end_tasks, failure

__all__ = ["end_tasks", "failure"]
