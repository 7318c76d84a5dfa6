"""Sends a request's body to the sidecar whose grant was taken."""

import asyncio
from typing import NamedTuple

import aiohttp

from skylarkdoor import invariants, tracing
from skylarkdoord.common import TlsService
from skylarkdoord.common import _headers as headers
from skylarkdoord.entry._offers import Taken
from skylarkdoord.entry._request import EntryRequest
from skylarkdoord.exceptions import NotRunError, OutcomeUnknownError

OUTCOME_TRIES = 4
OUTCOME_PAUSE_S = 0.25
OUTCOME_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 2.0

ONE_DISPATCH = invariants.define(
    "one_dispatch", "An entry has a request dispatched at most once."
)
OWN_ANSWER = invariants.define(
    "own_answer", "An answer carries the id of the request that it is given to."
)


class Outcome(NamedTuple):
    """What a sidecar says of a request.

    Attributes:
        phase: How far it came there.
        outcome: What came of it, once finished.
    """

    phase: str
    outcome: str


class Dispatcher:
    """Sends bodies and finds out what became of them.

    Args:
        tls: Contexts of the connections.
    """

    def __init__(self, tls: TlsService) -> None:
        self.tls = tls
        timeout = aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(
            connector=connector, timeout=timeout, auto_decompress=False
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def send(self, request: EntryRequest, taken: Taken) -> aiohttp.ClientResponse:
        """Send the body; returns the answer once it has begun.

        Raises:
            NotRunError: The sidecar did not give it to its upstream.
            OutcomeUnknownError: It did, and nothing whole came back.
        """
        request_id = request.request_id
        sent = self._headers(request, taken)
        url = self._url(taken, f"/internal/dispatch/{request_id}")
        tls = self.tls.arguments(taken.peer.instance)
        try:
            answer = await self.session.post(
                url, data=request.body, headers=sent, **tls
            )
        except aiohttp.ClientConnectorError:
            raise NotRunError("unavailable", "the sidecar can't be reached") from None
        except (aiohttp.ClientError, TimeoutError):
            await self._settle(request, taken)
            raise OutcomeUnknownError("the sidecar's answer was lost") from None
        if headers.NOT_RUN in answer.headers:
            raise await self._not_run(answer)
        self._count(request)
        if headers.UNKNOWN in answer.headers:
            answer.release()
            raise OutcomeUnknownError("the upstream's answer was lost")
        invariants.check(
            OWN_ANSWER,
            answer.headers.get(headers.REQUEST_ID) == request_id,
            request_id=request_id,
        )
        return answer

    async def outcome(self, request_id: str, taken: Taken) -> Outcome | None:
        """Ask a sidecar what came of a request.

        A request that has not begun there never will after the call.

        Returns:
            None if the sidecar does not answer.
        """
        url = self._url(taken, f"/internal/outcome/{request_id}")
        tls = self.tls.arguments(taken.peer.instance)
        timeout = aiohttp.ClientTimeout(total=OUTCOME_TIMEOUT_S)
        for _ in range(OUTCOME_TRIES):
            try:
                async with self.session.post(url, timeout=timeout, **tls) as answer:
                    said = await answer.json()
                return Outcome(said["phase"], said["outcome"])
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
                await asyncio.sleep(OUTCOME_PAUSE_S)
        return None

    async def _settle(self, request: EntryRequest, taken: Taken) -> None:
        outcome = await self.outcome(request.request_id, taken)
        if outcome is not None and outcome.phase == "tombstoned":
            raise NotRunError("tombstoned", "the request never started there")
        if outcome is not None and outcome.outcome == "not_run":
            raise NotRunError("upstream_down", "the upstream was not reached")
        self._count(request)

    async def _not_run(self, answer: aiohttp.ClientResponse) -> NotRunError:
        try:
            said = await answer.json()
            return NotRunError(str(said["code"]), str(said["message"]))
        except (aiohttp.ClientError, ValueError, KeyError):
            return NotRunError("unavailable", "the sidecar did not take the request")
        finally:
            answer.release()

    def _url(self, taken: Taken, path: str) -> str:
        return self.tls.url(taken.peer.record.http) + path

    def _count(self, request: EntryRequest) -> None:
        request.dispatches += 1
        invariants.check(
            ONE_DISPATCH, request.dispatches == 1, request_id=request.request_id
        )

    def _headers(self, request: EntryRequest, taken: Taken) -> dict[str, str]:
        sent = dict(request.headers)
        sent[headers.REQUEST_ID] = request.request_id
        sent[headers.GRANT] = str(taken.grant)
        sent[headers.INCARNATION] = str(taken.incarnation)
        sent[headers.METHOD] = request.method
        sent[headers.PATH] = request.path
        sent[headers.IDEMPOTENT] = str(int(request.idempotent))
        tracing.inject(sent, request.context)
        return sent
