"""Sends one request and classifies the reply."""

import asyncio
import hashlib
import json
from collections.abc import Sequence
from enum import StrEnum
from typing import Any, NamedTuple

import aiohttp

from skylarkdoor_bench._calls import Call
from skylarkdoor_bench._deployments import api_key
from skylarkdoor_bench._trace import Arrival

NO_ANSWER_CODE = "no_answer"
QUARANTINED_CODE = "quarantined"
_REFUSED_STATUSES = (429, 503)
_EVENT_PREFIX = b"data: "
_STREAM_END = b"data: [DONE]"


class Outcome(StrEnum):
    """Outcome of a request for its caller."""

    ANSWERED = "answered"
    """Answered completely and correctly, within the deadline."""
    LATE = "late"
    """Answered completely and correctly, after the deadline."""
    REFUSED = "refused"
    """Not executed, for a reason other than the deadline."""
    EXPIRED = "expired"
    """Abandoned by the entry or the caller because of the deadline."""
    UNKNOWN = "unknown"
    """The entry cannot determine whether the request was executed."""
    CUT = "cut"
    """The connection or the stream ended before the answer was complete."""
    WRONG = "wrong"
    """A complete answer that does not belong to the request."""
    ERROR = "error"
    """Any other status, or a malformed error body."""


class Reply(NamedTuple):
    """The reply to one attempt of a request.

    Attributes:
        outcome: Outcome of the attempt.
        status: HTTP status; 0 if none was received.
        code: Error code, or empty.
        request_id: Request id assigned by the entry, or empty.
        retry_after_s: Value of the Retry-After header; None if it is absent.
        token_times: Receive times of a stream's events, on the event loop's clock.
        body: Text of the answer; for a stream the concatenated text.
    """

    outcome: Outcome
    status: int = 0
    code: str = ""
    request_id: str = ""
    retry_after_s: float | None = None
    token_times: Sequence[float] = ()
    body: str = ""


async def send(
    session: aiohttp.ClientSession,
    url: str,
    arrival: Arrival,
    call: Call,
    deadline_s: float,
    *,
    timeout: aiohttp.ClientTimeout | None = None,
) -> Reply:
    """Send a request once and return the reply.

    Args:
        session: HTTP session.
        url: Base URL of the entry.
        arrival: The request.
        call: The HTTP call for the request.
        deadline_s: Time limit sent to the entry; none is sent if it is not positive.
        timeout: Timeout of the HTTP client; by default none.
    """
    try:
        async with session.request(
            call.method,
            f"{url}{call.path}",
            data=call.body,
            headers=_headers(arrival, deadline_s),
            timeout=timeout or aiohttp.ClientTimeout(),
        ) as answer:
            if answer.status == 200:
                return await _read_answer(answer, arrival, call)
            return await _read_error(answer)
    except TimeoutError:
        return Reply(Outcome.EXPIRED, code=NO_ANSWER_CODE)
    except aiohttp.ClientError as error:
        return Reply(Outcome.CUT, code=type(error).__name__)


def _headers(arrival: Arrival, deadline_s: float) -> dict[str, str]:
    headers = {"Authorization": f"Bearer {api_key(arrival.customer)}"}
    if arrival.kind != "service":
        headers["Content-Type"] = "application/json"
    if deadline_s > 0:
        headers["X-Request-Timeout"] = f"{deadline_s:.3f}"
    if arrival.key:
        headers["Idempotency-Key"] = arrival.key
    return headers


async def _read_answer(
    answer: aiohttp.ClientResponse, arrival: Arrival, call: Call
) -> Reply:
    request_id = answer.headers.get("X-Request-Id", "")
    if arrival.kind != "service" and arrival.stream:
        return await _read_stream(answer, call, request_id)
    text = await answer.text()
    is_match = _matches_request(text, arrival, call)
    outcome = Outcome.ANSWERED if is_match else Outcome.WRONG
    return Reply(outcome, 200, request_id=request_id, body=text)


async def _read_stream(
    answer: aiohttp.ClientResponse, call: Call, request_id: str
) -> Reply:
    loop = asyncio.get_running_loop()
    times: list[float] = []
    parts = []
    async for part in answer.content.iter_any():
        parts.append(part)
        times += [loop.time()] * part.count(_EVENT_PREFIX)
    raw = b"".join(parts)
    if not raw.rstrip().endswith(_STREAM_END):
        return Reply(Outcome.CUT, 200, "stream_cut", request_id, None, times)
    text = _stream_text(raw)
    outcome = Outcome.ANSWERED if text == call.expected else Outcome.WRONG
    # The last event is the end marker and not a token.
    return Reply(outcome, 200, "", request_id, None, times[:-1], text)


def _stream_text(raw: bytes) -> str:
    pieces = []
    for line in raw.splitlines():
        if not line.startswith(_EVENT_PREFIX) or line == _STREAM_END:
            continue
        for choice in json.loads(line.removeprefix(_EVENT_PREFIX))["choices"]:
            pieces.append(_choice_text(choice))
    return "".join(pieces)


def _choice_text(choice: dict[str, Any]) -> str:
    for form in ("delta", "message"):
        if form in choice:
            return str(choice[form].get("content", ""))
    return str(choice["text"])


def _matches_request(text: str, arrival: Arrival, call: Call) -> bool:
    try:
        answer = json.loads(text)
        if arrival.kind != "service":
            return _choice_text(answer["choices"][0]) == call.expected
        digest = hashlib.sha256(call.body or b"").hexdigest()
        return bool(
            answer["method"] == arrival.method
            and answer["path"] == arrival.path
            and answer["body_sha256"] == digest
        )
    except (ValueError, KeyError, IndexError, TypeError):
        return False


async def _read_error(answer: aiohttp.ClientResponse) -> Reply:
    text = await answer.text()
    try:
        error = json.loads(text)["error"]
        code, is_not_run = str(error["code"]), bool(error["not_run"])
    except (ValueError, KeyError, TypeError):
        return Reply(Outcome.ERROR, answer.status, "malformed", body=text)
    retry_after = answer.headers.get("Retry-After")
    return Reply(
        _error_outcome(answer.status, code, is_not_run),
        answer.status,
        code,
        answer.headers.get("X-Request-Id", ""),
        float(retry_after) if retry_after else None,
        body=text,
    )


def _error_outcome(status: int, code: str, is_not_run: bool) -> Outcome:
    if not is_not_run:
        return Outcome.UNKNOWN if code == "outcome_unknown" else Outcome.ERROR
    if code == "deadline":
        return Outcome.EXPIRED
    is_refused = status in _REFUSED_STATUSES or code == QUARANTINED_CODE
    return Outcome.REFUSED if is_refused else Outcome.ERROR
