"""Sends a request's body to the sidecar whose grant was accepted."""

import asyncio

import aiohttp

from skylarkdoor import bounded_http, events, invariants, tracing
from skylarkdoord import _events
from skylarkdoord.common import Suspicions, TlsService
from skylarkdoord.common import _headers as headers
from skylarkdoord.entry._delivery import Delivery, Outcome
from skylarkdoord.entry._offers import AcceptedGrant
from skylarkdoord.entry._request import MS_PER_S, EntryRequest
from skylarkdoord.entry._suspects import SuspectRelay
from skylarkdoord.exceptions import (
    DispatchError,
    NotRunError,
    OutcomeUnknownError,
    RefusedError,
    SidecarSilentError,
)

OUTCOME_ATTEMPTS = 4
OUTCOME_RETRY_DELAY_S = 0.25
OUTCOME_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 2.0
GONE_STATUS = 410
# Largest report of an outcome or a refusal.
MAX_REPLY_BYTES = 256 * 1024

ONE_DISPATCH = invariants.define(
    "one_dispatch", "A request of an entry is dispatched to an upstream at most once."
)
OWN_ANSWER = invariants.define(
    "own_answer", "An answer carries the id of the request that it is returned for."
)


class Dispatcher:
    """Sends requests to sidecars and determines the outcome if no answer arrives.

    Args:
        tls: TLS contexts of the connections.
        suspects: The suspects known to this entry, with the crashes of each.

    Attributes:
        bodies: Bounds the answers that are received whole.
    """

    def __init__(self, tls: TlsService, suspects: SuspectRelay) -> None:
        self.tls = tls
        self.suspects = suspects
        self.log = events.get_logger("entry.dispatch")
        timeout = aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
        self.bodies = bounded_http.BodyBudget()
        self.session = bounded_http.open_session(timeout=timeout, auto_decompress=False)

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def send(self, request: EntryRequest, accepted: AcceptedGrant) -> Delivery:
        """Send the body and return when the answer has started.

        Raises:
            NotRunError: The sidecar did not dispatch the request to its upstream.
            OutcomeUnknownError: The request may have run, and its answer is lost.
        """
        request.is_sent = True
        delivery = Delivery(
            accepted,
            lambda: self.query_outcome("GET", request, accepted),
            self.bodies,
        )
        try:
            return await self._send(request, delivery)
        except BaseException as error:
            request.is_sent = not isinstance(error, NotRunError)
            delivery.close()
            raise

    async def _send(self, request: EntryRequest, delivery: Delivery) -> Delivery:
        accepted = delivery.accepted
        request_id = request.request_id
        request_headers = self._headers(request, accepted)
        url = self._url(accepted, f"/internal/dispatch/{request_id}")
        tls = self.tls.request_arguments(accepted.peer.instance)
        try:
            await delivery.post(
                self.session.post(
                    url, data=request.body, headers=request_headers, **tls
                )
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise NotRunError("unavailable", "cannot connect to the sidecar") from None
        except SidecarSilentError:
            outcome = delivery.last_outcome and await self.query_outcome(
                "POST", request, accepted
            )
            raise self._error_after_loss(request, outcome) from None
        except (aiohttp.ClientError, TimeoutError):
            outcome = await self.query_outcome("POST", request, accepted)
            raise self._error_after_loss(request, outcome) from None
        answer = delivery.answer
        if not self._is_own(request, answer):
            # An earlier answer written once more. This one may still follow.
            delivery.abort()
            outcome = await self.query_outcome("POST", request, accepted)
            raise self._error_after_loss(request, outcome)
        if headers.NOT_RUN in answer.headers:
            raise await self._read_not_run(answer)
        self._check_request_id(request, answer)
        if headers.REPLAYED not in answer.headers:
            self._count_dispatch(request)
        if headers.OUTCOME_UNKNOWN in answer.headers:
            crashes = headers.parse_crashes(answer.headers)
            self._suspicions(request).merge(request.fingerprint, crashes)
            raise OutcomeUnknownError("the upstream's answer was lost")
        return delivery

    async def query_outcome(
        self, method: str, request: EntryRequest, accepted: AcceptedGrant
    ) -> Outcome | None:
        """Ask a sidecar which phase a request has reached there.

        Args:
            method: `GET` only reads the phase. `POST` also tombstones a request
                that has not started, so that the sidecar will never run it.
            request: The request.
            accepted: The grant that was accepted for it.

        Returns:
            The outcome, or None if the sidecar does not answer or has no record
            of the request.
        """
        url = self._url(accepted, f"/internal/outcome/{request.request_id}")
        tls = self.tls.request_arguments(accepted.peer.instance)
        request_headers = {
            headers.GRANT: str(accepted.grant),
            headers.INCARNATION: str(accepted.incarnation),
            headers.FINGERPRINT: str(request.fingerprint),
        }
        timeout = aiohttp.ClientTimeout(total=OUTCOME_TIMEOUT_S)
        for _ in range(OUTCOME_ATTEMPTS):
            try:
                async with self.session.request(
                    method, url, headers=request_headers, timeout=timeout, **tls
                ) as answer:
                    if not self._is_own(request, answer):
                        answer.close()
                        continue
                    if answer.status == GONE_STATUS:
                        return None
                    reply = await bounded_http.read_json(answer, MAX_REPLY_BYTES)
                self._suspicions(request).merge(request.fingerprint, reply["crashes"])
                return Outcome(reply["phase"])
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
                await asyncio.sleep(OUTCOME_RETRY_DELAY_S)
        return None

    def _error_after_loss(
        self, request: EntryRequest, outcome: Outcome | None
    ) -> DispatchError:
        if outcome is not None and outcome.phase == "tombstoned":
            return NotRunError("tombstoned", "the sidecar never started the request")
        self._count_dispatch(request)
        return OutcomeUnknownError("the sidecar's answer was lost")

    async def _read_not_run(self, answer: aiohttp.ClientResponse) -> NotRunError:
        try:
            reply = await bounded_http.read_json(answer, MAX_REPLY_BYTES)
            error_class = RefusedError if reply["final"] else NotRunError
            return error_class(
                str(reply["code"]),
                str(reply["message"]),
                retry_after_s=reply["retry_after_s"],
            )
        except (aiohttp.ClientError, ValueError, KeyError):
            return NotRunError("unavailable", "the sidecar did not accept the request")
        finally:
            answer.release()

    def _url(self, accepted: AcceptedGrant, path: str) -> str:
        return self.tls.url(accepted.peer.record.http) + path

    def _count_dispatch(self, request: EntryRequest) -> None:
        request.dispatches += 1
        invariants.check(
            ONE_DISPATCH, request.dispatches == 1, request_id=request.request_id
        )

    def _suspicions(self, request: EntryRequest) -> Suspicions:
        return self.suspects.of_pool(request.pool_name)

    def _is_own(self, request: EntryRequest, answer: aiohttp.ClientResponse) -> bool:
        """Return whether an answer is for the request; log it if not.

        Connections to a sidecar stay open, and an answer may be written to them twice.
        """
        answer_id = answer.headers.get(headers.REQUEST_ID)
        if answer_id != request.request_id:
            self.log.event(
                _events.ANSWER_CROSSED,
                request_id=request.request_id,
                answer_id=answer_id,
                status=answer.status,
            )
        return answer_id == request.request_id

    def _check_request_id(
        self, request: EntryRequest, answer: aiohttp.ClientResponse
    ) -> None:
        invariants.check(
            OWN_ANSWER,
            answer.headers.get(headers.REQUEST_ID) == request.request_id,
            request_id=request.request_id,
        )

    def _headers(
        self, request: EntryRequest, accepted: AcceptedGrant
    ) -> dict[str, str]:
        request_headers = dict(request.headers)
        request_headers[headers.REQUEST_ID] = request.request_id
        request_headers[headers.GRANT] = str(accepted.grant)
        request_headers[headers.INCARNATION] = str(accepted.incarnation)
        request_headers[headers.METHOD] = request.method
        request_headers[headers.PATH] = request.path
        request_headers[headers.STREAMED] = str(int(request.streamed))
        request_headers[headers.IDEMPOTENT] = str(int(request.idempotent))
        request_headers[headers.DEADLINE_MS] = str(
            int(request.remaining_s() * MS_PER_S)
        )
        request_headers[headers.FINGERPRINT] = str(request.fingerprint)
        crashes = self._suspicions(request).get(request.fingerprint).open
        request_headers[headers.CRASHES] = headers.format_crashes(crashes)
        request_headers[headers.TIER] = str(request.resolved.tier.rank)
        request_headers[headers.PROMPT_TOKENS] = str(request.prompt_tokens)
        if request.idempotency_key:
            request_headers[headers.IDENTITY] = request.identity()
        tracing.inject(request_headers, request.context)
        return request_headers
