"""Sends the requests of a trace at their times and checks every answer."""

import asyncio
import hashlib
import itertools
import json
import time
from collections.abc import Sequence
from enum import StrEnum
from typing import Any, NamedTuple

import aiohttp

from skylarkdoor_bench._deployments import Deployment, api_key
from skylarkdoor_bench._trace import Arrival, Call, make_call

# How long after its deadline a caller waits for an answer or a refusal.
GRACE_S = 1.0
LAG_INTERVAL_S = 0.02
MOST_RESENDS = 2
MS_PER_S = 1000
NO_ANSWER_CODE = "no_answer"
_EVENT = b"data: "
_STREAM_END = b"data: [DONE]"


class Outcome(StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    """In full, as it should be and in time."""
    LATE = "late"
    """In full and as it should be, after the deadline."""
    REFUSED = "refused"
    """Not run, for another reason than the deadline."""
    EXPIRED = "expired"
    """Given up because of its deadline, by the entry or by the caller."""
    UNKNOWN = "unknown"
    """The entry can't say whether it ran."""
    CUT = "cut"
    """The connection broke."""
    WRONG = "wrong"
    """A whole answer that is not the request's own."""
    ERROR = "error"
    """Any other status."""


class Reply(NamedTuple):
    """What came back for one sending of a request.

    Attributes:
        outcome: How it ended.
        status: HTTP status; 0 if there was none.
        code: Code of an error, or empty.
        request_id: Id that the entry gave it, or empty.
        retry_after_s: When the caller may come back; None if not said.
        token_times: Times of the events of a stream, in seconds of the loop.
        body: The answer's text; of a stream the text put together.
    """

    outcome: Outcome
    status: int = 0
    code: str = ""
    request_id: str = ""
    retry_after_s: float | None = None
    token_times: Sequence[float] = ()
    body: str = ""


class Result(NamedTuple):
    """A request of the trace and its end.

    Attributes:
        arrival: The request.
        reply: The last reply.
        sent_s: When it was sent, in seconds from the start.
        ended_s: When its last reply had come.
        first_token_s: Time from sending to the first token of a stream.
        gaps_s: Times between the tokens of a stream.
        sendings: How often it was sent.
    """

    arrival: Arrival
    reply: Reply
    sent_s: float
    ended_s: float
    first_token_s: float | None
    gaps_s: Sequence[float]
    sendings: int


class Storm(NamedTuple):
    """When callers resend refused and broken requests.

    Attributes:
        start_s: Its begin, in seconds from the start.
        end_s: Its end.
    """

    start_s: float = 0.0
    end_s: float = 0.0

    def covers(self, now_s: float) -> bool:
        """Return whether a time lies within it."""
        return self.start_s <= now_s < self.end_s


class LoadReport(NamedTuple):
    """What a load did.

    Attributes:
        results: One for each request, in the order of the trace.
        seconds: From the first arrival to the last reply.
        worst_lag_s: Longest time by which the tool's own loop was late.
        cpu_share: Share of a core that the tool used.
    """

    results: list[Result]
    seconds: float
    worst_lag_s: float
    cpu_share: float


class Load:
    """Sends a trace to the entries of a deployment.

    Args:
        session: The session for all requests.
        deployment: Whose models and pools the requests name.
        urls: The entries' base URLs, used in turn.
        arrivals: The trace.
        storm: When callers resend.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        deployment: Deployment,
        urls: Sequence[str],
        arrivals: Sequence[Arrival],
        *,
        storm: Storm = Storm(),  # noqa: B008
    ) -> None:
        self.session = session
        self.arrivals = arrivals
        self.storm = storm
        self.urls = itertools.cycle(urls)
        self.calls = make_calls(deployment, arrivals)
        self.loop = asyncio.get_running_loop()
        self.started = 0.0
        self.worst_lag_s = 0.0

    async def run(self) -> LoadReport:
        """Send every request at its time and wait for all replies."""
        watch = asyncio.create_task(self._watch_lag())
        cpu_before = time.process_time()
        self.started = self.loop.time()
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(self._serve(arrival, call))
                    for arrival, call in zip(self.arrivals, self.calls, strict=True)
                ]
        finally:
            watch.cancel()
        seconds = self.now_s()
        cpu_s = time.process_time() - cpu_before
        results = [task.result() for task in tasks]
        return LoadReport(results, seconds, self.worst_lag_s, cpu_s / seconds)

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return self.loop.time() - self.started

    async def _serve(self, arrival: Arrival, call: Call) -> Result:
        await asyncio.sleep(arrival.at_s - self.now_s())
        sent_s = self.now_s()
        ends_s = sent_s + arrival.deadline_s
        for sendings in itertools.count(1):
            reply = await self._send(arrival, call, ends_s - self.now_s())
            pause_s = self._resend_pause_s(arrival, reply, ends_s, sendings)
            if pause_s is None:
                break
            await asyncio.sleep(pause_s)
        return self._result(arrival, reply, sent_s, sendings)

    def _resend_pause_s(
        self, arrival: Arrival, reply: Reply, ends_s: float, sendings: int
    ) -> float | None:
        is_broken = reply.outcome in (Outcome.REFUSED, Outcome.CUT, Outcome.UNKNOWN)
        now_s = self.now_s()
        if not (is_broken and arrival.key and self.storm.covers(now_s)):
            return None
        pause_s = reply.retry_after_s or 0.0
        if sendings > MOST_RESENDS or now_s + pause_s >= ends_s:
            return None
        return pause_s

    def _result(
        self, arrival: Arrival, reply: Reply, sent_s: float, sendings: int
    ) -> Result:
        times = [at - self.started for at in reply.token_times]
        first_token_s = times[0] - sent_s if times else None
        gaps_s = [later - sooner for sooner, later in itertools.pairwise(times)]
        ended_s = self.now_s()
        is_late = ended_s - sent_s > arrival.deadline_s
        if reply.outcome is Outcome.ANSWERED and is_late:
            reply = reply._replace(outcome=Outcome.LATE)
        return Result(arrival, reply, sent_s, ended_s, first_token_s, gaps_s, sendings)

    async def _send(self, arrival: Arrival, call: Call, left_s: float) -> Reply:
        timeout = aiohttp.ClientTimeout(total=left_s + GRACE_S)
        return await send(
            self.session, next(self.urls), arrival, call, left_s, timeout=timeout
        )

    async def _watch_lag(self) -> None:
        while True:
            due = self.loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.worst_lag_s = max(self.worst_lag_s, self.loop.time() - due)


def make_calls(deployment: Deployment, arrivals: Sequence[Arrival]) -> list[Call]:
    """Return the calls for a deployment's first model and first service."""
    pools = deployment.fleet.pools
    model_pools = [pool for pool in pools.values() if pool.kind == "model"]
    services = [name for name, pool in pools.items() if pool.kind == "service"]
    model = model_pools[0].models[0]
    return [
        make_call(arrival, number=number, model=model, pool=services[0])
        for number, arrival in enumerate(arrivals)
    ]


async def send(
    session: aiohttp.ClientSession,
    url: str,
    arrival: Arrival,
    call: Call,
    deadline_s: float,
    *,
    timeout: aiohttp.ClientTimeout | None = None,
) -> Reply:
    """Send a request once and return what came back."""
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
    is_own = _is_own(text, arrival, call)
    outcome = Outcome.ANSWERED if is_own else Outcome.WRONG
    return Reply(outcome, 200, request_id=request_id, body=text)


async def _read_stream(
    answer: aiohttp.ClientResponse, call: Call, request_id: str
) -> Reply:
    loop = asyncio.get_running_loop()
    times: list[float] = []
    parts = []
    async for part in answer.content.iter_any():
        parts.append(part)
        times += [loop.time()] * part.count(_EVENT)
    raw = b"".join(parts)
    if not raw.rstrip().endswith(_STREAM_END):
        return Reply(Outcome.CUT, 200, "stream_cut", request_id, None, times)
    text = _stream_text(raw)
    outcome = Outcome.ANSWERED if text == call.expected else Outcome.WRONG
    # The end mark is no token.
    return Reply(outcome, 200, "", request_id, None, times[:-1], text)


def _stream_text(raw: bytes) -> str:
    pieces = []
    for line in raw.splitlines():
        if not line.startswith(_EVENT) or line == _STREAM_END:
            continue
        for choice in json.loads(line.removeprefix(_EVENT))["choices"]:
            pieces.append(_choice_text(choice))
    return "".join(pieces)


def _choice_text(choice: dict[str, Any]) -> str:
    for form in ("delta", "message"):
        if form in choice:
            return str(choice[form].get("content", ""))
    return str(choice["text"])


def _is_own(text: str, arrival: Arrival, call: Call) -> bool:
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
    return Outcome.REFUSED if status in (429, 503) else Outcome.ERROR
