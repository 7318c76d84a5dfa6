"""Cancellation of tasks that holds even if a task fails at the same moment."""

import asyncio
from collections.abc import Iterable
from typing import Any

# Interval at which tasks that have not ended are cancelled again.
CANCEL_INTERVAL_S = 2.0


def is_cancelled() -> bool:
    """Return whether somebody asked the current task to end.

    A task group raises only the failures of its tasks if it is cancelled as one of them
    fails, so that a loop which handles the failures would go on.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def end_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until all of them have ended, however they end."""
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL_S)
