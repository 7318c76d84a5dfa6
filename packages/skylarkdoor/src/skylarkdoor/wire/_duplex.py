"""Reading and writing of a stream at the same time."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from skylarkdoor import events
from skylarkdoor.tasks import end_tasks, failure
from skylarkdoor.wire._connection_errors import CONNECTION_LOST_ERRORS
from skylarkdoor.wire._outbox import Outbox


async def run_duplex(
    read: Coroutine[Any, Any, None],
    write: Coroutine[Any, Any, None],
    outbox: Outbox[Any],
) -> None:
    """Read and write until either ends, or the peer reads messages too slowly.

    A task group would not do: if it is cancelled as one of its tasks fails, it raises
    the failure, and a loop that connects again would go on. A fault of the program is
    logged in that case.

    Args:
        read: Receives messages.
        write: Sends the messages of the outbox.
        outbox: Queue of outgoing messages.

    Raises:
        GRPCError, StreamTerminatedError, OSError, TimeoutError: The connection was
            lost.
        OutboxFullError: The peer reads messages too slowly.
        Exception: A message could not be handled.
    """
    tasks = [
        asyncio.create_task(read, name="duplex.read"),
        asyncio.create_task(write, name="duplex.write"),
        asyncio.create_task(outbox.wait_for_overflow(), name="duplex.overflow"),
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    except asyncio.CancelledError:
        await end_tasks(tasks)
        _log_faults(tasks)
        raise
    await end_tasks(tasks)
    errors = [error for error in map(failure, tasks) if isinstance(error, Exception)]
    # A fault of the program is told before the loss of the connection.
    errors.sort(key=lambda error: isinstance(error, CONNECTION_LOST_ERRORS))
    if errors:
        raise errors[0]


def _log_faults(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        error = failure(task)
        is_fault = isinstance(error, Exception)
        if is_fault and not isinstance(error, CONNECTION_LOST_ERRORS):
            events.get_logger("wire").event(
                events.TASK_ENDED, task=task.get_name(), error=repr(error)
            )
