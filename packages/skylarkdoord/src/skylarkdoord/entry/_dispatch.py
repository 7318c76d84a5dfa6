"""Sends a request's body to the sidecar whose grant was taken."""

import asyncio

import aiohttp

from skylarkdoor import invariants, tracing
from skylarkdoord.common import Suspicions, TlsService
from skylarkdoord.common import _headers as headers
from skylarkdoord.entry._delivery import Delivery, Outcome
from skylarkdoord.entry._offers import Taken
from skylarkdoord.entry._request import MS_PER_S, EntryRequest
from skylarkdoord.entry._suspects import Suspects
from skylarkdoord.exceptions import (
    DispatchError,
    NotRunError,
    OutcomeUnknownError,
    RefusedError,
    SidecarSilentError,
)

OUTCOME_TRIES = 4
OUTCOME_PAUSE_S = 0.25
OUTCOME_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 2.0
GONE_STATUS = 410

ONE_DISPATCH = invariants.define(
    "one_dispatch", "An entry has a request dispatched at most once."
)
OWN_ANSWER = invariants.define(
    "own_answer", "An answer carries the id of the request that it is given to."
)


class Dispatcher:
    """Sends bodies and finds out what became of them.

    Args:
        tls: Contexts of the connections.
        suspects: What the entry knows of suspects.
    """

    def __init__(self, tls: TlsService, suspects: Suspects) -> None:
        self.tls = tls
        self.suspects = suspects
        timeout = aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(
            connector=connector, timeout=timeout, auto_decompress=False
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def send(self, request: EntryRequest, taken: Taken) -> Delivery:
        """Send the body; returns once the answer has begun.

        Raises:
            NotRunError: The sidecar did not give it to its upstream.
            OutcomeUnknownError: It did, and nothing whole came back.
        """
        delivery = Delivery(taken, lambda: self.ask("GET", request, taken))
        try:
            return await self._send(request, delivery)
        except BaseException:
            delivery.close()
            raise

    async def _send(self, request: EntryRequest, delivery: Delivery) -> Delivery:
        taken = delivery.taken
        request_id = request.request_id
        sent = self._headers(request, taken)
        url = self._url(taken, f"/internal/dispatch/{request_id}")
        tls = self.tls.arguments(taken.peer.instance)
        try:
            await delivery.post(
                self.session.post(url, data=request.body, headers=sent, **tls)
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise NotRunError("unavailable", "the sidecar can't be reached") from None
        except SidecarSilentError:
            said = delivery.verdict and await self.ask("POST", request, taken)
            raise self._settle(request, said) from None
        except (aiohttp.ClientError, TimeoutError):
            said = await self.ask("POST", request, taken)
            raise self._settle(request, said) from None
        answer = delivery.answer
        if headers.NOT_RUN in answer.headers:
            raise await self._not_run(answer)
        self._check_own(request, answer)
        if headers.REPLAYED not in answer.headers:
            self._count(request)
        if headers.UNKNOWN in answer.headers:
            crashes = headers.read_crashes(answer.headers)
            self._suspicions(request).learn(request.fingerprint, crashes)
            raise OutcomeUnknownError("the upstream's answer was lost")
        return delivery

    async def ask(
        self, method: str, request: EntryRequest, taken: Taken
    ) -> Outcome | None:
        """Ask a sidecar how far a request has come.

        Args:
            method: `GET` changes nothing; after `POST`, a request that has not
                begun there never will.
            request: The request.
            taken: The grant that it took.

        Returns:
            None if the sidecar does not answer or does not know.
        """
        url = self._url(taken, f"/internal/outcome/{request.request_id}")
        tls = self.tls.arguments(taken.peer.instance)
        sent = {
            headers.GRANT: str(taken.grant),
            headers.INCARNATION: str(taken.incarnation),
            headers.FINGERPRINT: str(request.fingerprint),
        }
        timeout = aiohttp.ClientTimeout(total=OUTCOME_TIMEOUT_S)
        for _ in range(OUTCOME_TRIES):
            try:
                async with self.session.request(
                    method, url, headers=sent, timeout=timeout, **tls
                ) as answer:
                    if answer.status == GONE_STATUS:
                        return None
                    said = await answer.json()
                self._suspicions(request).learn(request.fingerprint, said["crashes"])
                return Outcome(said["phase"])
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
                await asyncio.sleep(OUTCOME_PAUSE_S)
        return None

    def _settle(self, request: EntryRequest, said: Outcome | None) -> DispatchError:
        if said is not None and said.phase == "tombstoned":
            return NotRunError("tombstoned", "the request never started there")
        self._count(request)
        return OutcomeUnknownError("the sidecar's answer was lost")

    async def _not_run(self, answer: aiohttp.ClientResponse) -> NotRunError:
        try:
            said = await answer.json()
            kind = RefusedError if said["final"] else NotRunError
            return kind(
                str(said["code"]),
                str(said["message"]),
                retry_after_s=said["retry_after_s"],
            )
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

    def _suspicions(self, request: EntryRequest) -> Suspicions:
        return self.suspects.of_pool(request.pool_name)

    def _check_own(self, request: EntryRequest, answer: aiohttp.ClientResponse) -> None:
        invariants.check(
            OWN_ANSWER,
            answer.headers.get(headers.REQUEST_ID) == request.request_id,
            request_id=request.request_id,
        )

    def _headers(self, request: EntryRequest, taken: Taken) -> dict[str, str]:
        sent = dict(request.headers)
        sent[headers.REQUEST_ID] = request.request_id
        sent[headers.GRANT] = str(taken.grant)
        sent[headers.INCARNATION] = str(taken.incarnation)
        sent[headers.METHOD] = request.method
        sent[headers.PATH] = request.path
        sent[headers.STREAMED] = str(int(request.streamed))
        sent[headers.IDEMPOTENT] = str(int(request.idempotent))
        sent[headers.DEADLINE_MS] = str(int(request.remaining_s() * MS_PER_S))
        sent[headers.FINGERPRINT] = str(request.fingerprint)
        crashes = self._suspicions(request).of(request.fingerprint).open
        sent[headers.CRASHES] = headers.write_crashes(crashes)
        sent[headers.TIER] = str(request.resolved.tier.rank)
        sent[headers.PROMPT_TOKENS] = str(request.prompt_tokens)
        if request.idempotency_key:
            sent[headers.IDENTITY] = request.identity()
        tracing.inject(sent, request.context)
        return sent
