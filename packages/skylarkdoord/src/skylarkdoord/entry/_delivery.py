"""Sends one request body to a sidecar and reads the answer.

Detects a sidecar that is unreachable or no longer runs the request.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

import aiohttp

from skylarkdoor import bounded_http
from skylarkdoor.tasks import failure
from skylarkdoord.entry._offers import AcceptedGrant
from skylarkdoord.exceptions import SidecarSilentError

# Interval between outcome queries while the control stream is open.
CHECK_INTERVAL_S = 5.0
# Time for an answer that is already under way to arrive.
GRACE_S = 0.5
# Phases in which an answer can still be expected.
RUNNING_PHASES = ("accepted", "dispatched")


class Outcome(NamedTuple):
    """The state of a request at a sidecar.

    Attributes:
        phase: The phase that the request has reached there.
    """

    phase: str


OutcomeQuery = Callable[[], Awaitable[Outcome | None]]


class Delivery:
    """The transfer of one request body and its answer.

    The sidecar is queried for the request's outcome when its control stream is
    lost, and every `CHECK_INTERVAL_S`. If it does not reply, or no longer runs
    the request, the connection is closed because it may be half-open.

    Args:
        accepted: The grant that was accepted.
        query_outcome: Queries the sidecar for the request's outcome.
        bodies: Bounds the answers that are received whole; None for this one alone.
    """

    def __init__(
        self,
        accepted: AcceptedGrant,
        query_outcome: OutcomeQuery,
        bodies: bounded_http.BodyBudget | None = None,
    ) -> None:
        self.accepted = accepted
        self.bodies = bodies or bounded_http.BodyBudget()
        self.query_outcome = query_outcome
        self.last_outcome: Outcome | None = None
        self.waiting_since: float | None = None
        self.answer: aiohttp.ClientResponse
        self.post_task: asyncio.Task[aiohttp.ClientResponse] | None = None
        self.watch_task: asyncio.Task[None] | None = None

    async def post(self, pending_response: Awaitable[aiohttp.ClientResponse]) -> None:
        """Send the body and wait until the answer has started.

        Args:
            pending_response: Sends the request when it is awaited.

        Raises:
            aiohttp.ClientError: The connection failed.
            SidecarSilentError: The sidecar does not confirm that the request runs.
        """
        self.post_task = asyncio.ensure_future(pending_response)
        self.watch_task = asyncio.create_task(self.watch())
        with self._measured_wait():
            await asyncio.wait({self.post_task})
        if self.post_task.cancelled():
            raise SidecarSilentError
        self.answer = self.post_task.result()

    async def read_body(self) -> bytes:
        """Return the complete body of the answer.

        Raises:
            aiohttp.ClientError: The connection failed or was closed, or the body is
                too large.
        """
        with self._measured_wait():
            return await self.bodies.read(self.answer)

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the answer, empty at its end.

        Raises:
            aiohttp.ClientError: The connection failed or was closed.
        """
        with self._measured_wait():
            return await bounded_http.read_chunk(self.answer)

    async def watch(self) -> None:
        """Close the connection when no answer can be expected any more.

        That holds as well if the query itself fails.
        """
        try:
            await self.wait_until_lost()
        finally:
            self.abort()

    async def wait_until_lost(self) -> None:
        """Query the outcome until no answer can be expected any more."""
        while True:
            await self._wait_until_check_due()
            self.last_outcome = await self.query_outcome()
            # The answer of a request that has just ended may still be under way.
            await asyncio.sleep(GRACE_S)
            is_running = (
                self.last_outcome is not None
                and self.last_outcome.phase in RUNNING_PHASES
            )
            if not is_running and self._waited_s() >= GRACE_S:
                break

    async def _wait_until_check_due(self) -> None:
        """Wait until the control stream is lost or the check interval has passed."""
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self.accepted.peer.disconnected.wait()
        except TimeoutError:
            pass

    @contextmanager
    def _measured_wait(self) -> Iterator[None]:
        self.waiting_since = time.monotonic()
        try:
            yield
        finally:
            self.waiting_since = None

    def _waited_s(self) -> float:
        since = self.waiting_since
        return 0.0 if since is None else time.monotonic() - since

    def abort(self) -> None:
        """Close the connection; pending reads of the answer raise an error."""
        if self.post_task is None:
            return
        if not self.post_task.done():
            self.post_task.cancel()
            # Its failure may be that of the connection, which nobody waits for.
            self.post_task.add_done_callback(failure)
        elif not self.post_task.cancelled() and self.post_task.exception() is None:
            self.post_task.result().close()

    def close(self) -> None:
        """Stop the checks and close the connection."""
        if self.watch_task is not None:
            self.watch_task.cancel()
        self.abort()
