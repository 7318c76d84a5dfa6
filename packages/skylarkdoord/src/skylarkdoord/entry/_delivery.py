"""One body's way to a sidecar, and the answer's way back."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

import aiohttp

from skylarkdoord.entry._offers import Taken
from skylarkdoord.exceptions import SidecarSilentError

CHECK_INTERVAL_S = 5.0
GRACE_S = 0.5


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

    The sidecar is asked what it knows of the request when its control stream
    is lost, and now and then while nothing comes. If it does not answer, or the
    request does not run there any more, the connection is closed: it may be
    half open.

    Args:
        taken: The grant that was taken.
        ask: Asks the sidecar what came of the request.
    """

    def __init__(self, taken: Taken, ask: Ask) -> None:
        self.taken = taken
        self.ask = ask
        self.verdict: Outcome | None = None
        self.waiting_since: float | None = None
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
        with self._waiting():
            await asyncio.wait({self.posting})
        if self.posting.cancelled():
            raise SidecarSilentError
        self.answer = self.posting.result()

    async def read_whole(self) -> bytes:
        """Return the whole body of the answer.

        Raises:
            aiohttp.ClientError: The connection broke or was closed.
        """
        with self._waiting():
            return await self.answer.read()

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the answer, empty at its end.

        Raises:
            aiohttp.ClientError: The connection broke or was closed.
        """
        with self._waiting():
            return await self.answer.content.readany()

    async def watch(self) -> None:
        """Close the connection once nothing more can be expected of it."""
        while True:
            await self._doubt()
            self.verdict = await self.ask()
            # What ended may still be on its way.
            await asyncio.sleep(GRACE_S)
            runs = self.verdict is not None and self.verdict.phase == "dispatched"
            if not runs and self._waited_s() >= GRACE_S:
                break
        self.stop()

    async def _doubt(self) -> None:
        """Wait until the sidecar's silence gives a reason to ask."""
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self.taken.peer.lost.wait()
        except TimeoutError:
            pass

    @contextmanager
    def _waiting(self) -> Iterator[None]:
        self.waiting_since = time.monotonic()
        try:
            yield
        finally:
            self.waiting_since = None

    def _waited_s(self) -> float:
        since = self.waiting_since
        return 0.0 if since is None else time.monotonic() - since

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
