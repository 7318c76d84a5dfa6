"""Timeouts that don't count the time in which the event loop was busy.

After a pass of the loop that took long, a timer is due at the same moment as bytes are
found that arrived long before. A usual timeout then gives up an answer that is there.
"""

import asyncio
from types import TracebackType
from typing import Any, Self

# Passes of the event loop from the arrival of an answer until its reader has it, with
# those that open its connection.
GRACE_PASSES = 12


class GraceTimeout:
    """Context that is cancelled after a time, and after some passes of the loop.

    Those passes follow the time, so that a loop without other work takes no longer.

    Args:
        delay_s: The time, in seconds.
    """

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.timeout = asyncio.timeout(None)

    async def __aenter__(self) -> Self:
        """Start the time."""
        self.loop = asyncio.get_running_loop()
        await self.timeout.__aenter__()
        self.handle: asyncio.Handle = self.loop.call_later(
            self.delay_s, self.let_pass, GRACE_PASSES
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the time.

        Raises:
            TimeoutError: The context was cancelled.
        """
        self.cancel()
        await self.timeout.__aexit__(kind, error, trace)

    def cancel(self) -> None:
        """Let the context go on without a timeout."""
        self.handle.cancel()

    def let_pass(self, passes: int) -> None:
        """Cancel the context after some more passes of the loop."""
        if passes:
            self.handle = self.loop.call_soon(self.let_pass, passes - 1)
        else:
            self.timeout.reschedule(self.loop.time())


async def let_pass(task: asyncio.Task[Any]) -> None:
    """Wait until a task has read what has arrived for it, or has ended."""
    for _ in range(GRACE_PASSES):
        if task.done():
            return
        await asyncio.sleep(0)
