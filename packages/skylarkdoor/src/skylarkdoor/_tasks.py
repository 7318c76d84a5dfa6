"""Cancellation of tasks that holds even if a task fails at the same moment."""

import asyncio
from collections.abc import Iterable
from typing import Any

# Interval at which tasks that have not ended are cancelled again.
CANCEL_INTERVAL_S = 2.0


async def end_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until all of them have ended, however they end.

    Their failures count as fetched, also those of tasks that end after the caller was
    cancelled itself.
    """
    pending = set(tasks)
    for task in pending:
        task.add_done_callback(failure)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL_S)


def failure(task: asyncio.Task[Any]) -> BaseException | None:
    """Return the error with which a task has ended; None if it ended without one.

    That of a cancelled task is a `CancelledError`.
    """
    if task.cancelled():
        return asyncio.CancelledError()
    return task.exception()
