"""Cancellation of tasks."""

from skylarkdoor._tasks import end_tasks, is_cancelled

__all__ = ["end_tasks", "is_cancelled"]
