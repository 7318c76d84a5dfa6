"""One body's way to a sidecar, and the answer's way back."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import aiohttp

from skylarkdoord.entry._offers import Taken
from skylarkdoord.exceptions import SidecarSilentError

RECHECK_INTERVAL_S = 1.0


class Outcome(NamedTuple):
    """What a sidecar says of a request.

    Attributes:
        phase: How far it came there.
        outcome: What came of it, once finished.
    """

    phase: str
    outcome: str


Ask = Callable[[], Awaitable[Outcome | None]]


class Delivery:
    """A body that is being sent and the answer to it.

    While the control stream to the sidecar is lost, the sidecar is asked again
    and again what it knows. If it does not answer, or says that the request
    does not run, the connection is closed: it may be half open.

    Args:
        taken: The grant that was taken.
        ask: Asks the sidecar what came of the request.
    """

    def __init__(self, taken: Taken, ask: Ask) -> None:
        self.taken = taken
        self.ask = ask
        self.verdict: Outcome | None = None
        self.silent = False
        self.answer: aiohttp.ClientResponse
        self.posting: asyncio.Task[aiohttp.ClientResponse] | None = None
        self.watching: asyncio.Task[None] | None = None

    async def post(self, posting: Awaitable[aiohttp.ClientResponse]) -> None:
        """Send the body and wait until the answer has begun.

        Raises:
            aiohttp.ClientError: The connection broke.
            SidecarSilentError: The sidecar does not say that it runs.
        """
        self.posting = asyncio.ensure_future(posting)
        self.watching = asyncio.create_task(self.watch())
        try:
            await asyncio.wait({self.posting})
        except asyncio.CancelledError:
            self.close()
            raise
        if self.posting.cancelled():
            raise SidecarSilentError
        self.answer = self.posting.result()

    async def watch(self) -> None:
        """Close the connection once the sidecar is silent."""
        while True:
            await self.taken.peer.lost.wait()
            self.verdict = await self.ask()
            if self.verdict is None or self.verdict.phase == "tombstoned":
                break
            # It runs, or it has ended and its answer is on the way.
            await asyncio.sleep(RECHECK_INTERVAL_S)
            if self.verdict.phase == "finished":
                break
        self.silent = True
        self.stop()

    def stop(self) -> None:
        """Close the connection; whoever waits for the answer gets an error."""
        if self.posting is None:
            return
        if not self.posting.done():
            self.posting.cancel()
        elif not self.posting.cancelled() and self.posting.exception() is None:
            self.posting.result().close()

    def close(self) -> None:
        """End the delivery."""
        if self.watching is not None:
            self.watching.cancel()
        self.stop()
