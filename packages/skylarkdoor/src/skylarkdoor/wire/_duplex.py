"""Reading and writing of a stream at the same time."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from skylarkdoor.tasks import is_cancelled
from skylarkdoor.wire._connection_errors import CONNECTION_LOST_ERRORS
from skylarkdoor.wire._outbox import Outbox


async def run_duplex(
    read: Coroutine[Any, Any, None],
    write: Coroutine[Any, Any, None],
    outbox: Outbox[Any],
) -> None:
    """Read and write until either fails, or the peer reads messages too slowly.

    Args:
        read: Receives messages until it fails.
        write: Sends the messages of the outbox until it fails.
        outbox: Queue of outgoing messages.

    Raises:
        GRPCError, StreamTerminatedError, OSError, TimeoutError: The connection was
            lost.
        OutboxFullError: The peer reads messages too slowly.
        Exception: A message could not be handled.
    """
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(write)
            group.create_task(outbox.wait_for_overflow())
            await read
    except ExceptionGroup as errors:
        if is_cancelled():
            raise asyncio.CancelledError from errors
        _, others = errors.split(CONNECTION_LOST_ERRORS)
        raise (others or errors).exceptions[0] from None
