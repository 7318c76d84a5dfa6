"""Callers of the soak test, and the journal of the replies they received."""

import asyncio
import itertools
import json
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

import aiohttp

from skylarkdoor_bench._deployments import api_key
from skylarkdoor_bench._launcher import Cluster
from skylarkdoor_standins import ChatMessage, chat_prompt, expected_text

CUSTOMER = "teika-garden"
MODEL = "garden-7b"
HANDOVERS = "/services/registry/handovers"
# Limit of the HTTP client for a whole call.
CALL_TIMEOUT_S = 40.0
# Limit sent to the entry in the X-Request-Timeout header.
REQUEST_TIMEOUT_S = 10
MAX_ATTEMPTS = 4
MAX_PAUSE_S = 0.15
CONNECT_TIMEOUT_S = 2.0
RETRYABLE_STATUSES = (429, 503, 504)


class Kind(StrEnum):
    """Kinds of requests: streamed and whole chats, lookups and hand-overs."""

    STREAM = "stream"
    WHOLE = "whole"
    LOOKUP = "lookup"
    HANDOVER = "handover"


class SendOutcome(StrEnum):
    """Outcome of one attempt of a request, as the caller sees it.

    Attributes:
        ANSWERED: The request was answered with status 200.
        NOT_RUN: The request was not executed, according to the error or because
            no connection was made.
        UNKNOWN: The error leaves open whether the request was executed.
        BROKEN: The connection broke or the call timed out.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BROKEN = "broken"


@dataclass
class HandoverRecord:
    """All replies to one hand-over.

    Attributes:
        outcomes: Outcome of each attempt.
        executions: Request id and execution number of each distinct answer.
    """

    outcomes: list[SendOutcome] = field(default_factory=list)
    executions: set[str] = field(default_factory=set)


class SendResult(NamedTuple):
    """Result of one attempt.

    Attributes:
        outcome: Outcome of the attempt.
        body: Text of the answer.
    """

    outcome: SendOutcome
    body: str = ""


class Journal:
    """Records the replies to all callers and checks them against the executions.

    Attributes:
        counts: Number of attempts by kind of request and outcome.
        codes: Number of replies by error code.
        handovers: Replies to each hand-over, by idempotency key.
        wrong: A line for each reply that violates a guarantee.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.codes: Counter[str] = Counter()
        self.handovers: dict[str, HandoverRecord] = defaultdict(HandoverRecord)
        self.wrong: list[str] = []

    def count_attempt(self, kind: Kind, outcome: SendOutcome) -> None:
        """Count one attempt."""
        self.counts[f"{kind} {outcome}"] += 1

    def summary(self) -> list[str]:
        """Return the counts as lines of text."""
        lines = [f"{name}: {count}" for name, count in sorted(self.counts.items())]
        codes = ", ".join(f"{code} {n}" for code, n in sorted(self.codes.items()))
        return [*lines, f"codes: {codes}"]

    async def problems(self, cluster: Cluster) -> list[str]:
        """Return a line for each violated guarantee."""
        runs = await handover_runs(cluster)
        found = list(self.wrong)
        for key, record in self.handovers.items():
            found += find_handover_problems(key, record, runs.get(key, []))
        return found


def find_handover_problems(
    key: str, record: HandoverRecord, runs: list[str]
) -> list[str]:
    """Return a line for each guarantee that one hand-over violates.

    Args:
        key: Idempotency key of the hand-over.
        record: Replies to its caller.
        runs: Executions that the services recorded.
    """
    found = []
    if len(runs) > 1:
        found.append(f"{key} was executed {len(runs)} times: {runs}")
    if len(record.executions) > 1:
        found.append(f"{key} received different answers: {sorted(record.executions)}")
    if SendOutcome.ANSWERED in record.outcomes and not runs:
        found.append(f"{key} was answered but never executed")
    if runs and all(outcome is SendOutcome.NOT_RUN for outcome in record.outcomes):
        found.append(f"{key} was executed although every reply reported not_run")
    return found


async def handover_runs(cluster: Cluster) -> dict[str, list[str]]:
    """Return the executions of each idempotency key in all services."""
    runs: dict[str, list[str]] = defaultdict(list)
    for name in cluster.upstream_urls:
        if not name.startswith("registry"):
            continue
        stats = await cluster.upstream_stats(name)
        for run in stats["executions"]:
            if run["idempotency_key"]:
                runs[run["idempotency_key"]].append(f"{name} {run['execution']}")
    return runs


class SoakCaller:
    """Sends one random request after another.

    Args:
        cluster: The deployment.
        journal: Journal that records the replies.
        rng: Random number generator.
        number: Number of the caller, used in its idempotency keys.
    """

    kinds = tuple(Kind)

    def __init__(
        self, cluster: Cluster, journal: Journal, rng: random.Random, number: int
    ) -> None:
        self.cluster = cluster
        self.journal = journal
        self.rng = rng
        self.number = number
        self.counter = itertools.count()

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until `stop` is set."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            self.session = session
            while not stop.is_set():
                kind = self.rng.choice(self.kinds)
                if kind is Kind.HANDOVER:
                    await self.hand_over()
                else:
                    await self.send_idempotent(kind)
                await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))

    async def probe(self, kind: Kind) -> bool:
        """Return whether a request of a kind is answered now."""
        async with aiohttp.ClientSession() as session:
            self.session = session
            if kind is Kind.HANDOVER:
                return await self.hand_over(max_attempts=1) is SendOutcome.ANSWERED
            return await self.send_idempotent(kind) is SendOutcome.ANSWERED

    async def send_idempotent(self, kind: Kind) -> SendOutcome:
        """Send an idempotent request once and check its answer."""
        token = f"c{self.number}-{next(self.counter)}"
        words = " ".join(f"{token}-{n}" for n in range(self.rng.randint(1, 200)))
        length = self.rng.randint(1, 60)
        if kind is Kind.LOOKUP:
            result = await self.send("GET", f"/services/registry/packets/{token}")
            expected = json.dumps(f"/packets/{token}")
            is_correct = expected in result.body
        else:
            messages = [ChatMessage(role="user", content=words)]
            body = {
                "model": MODEL,
                "max_tokens": length,
                "messages": messages,
                "stream": kind is Kind.STREAM,
            }
            result = await self.send("POST", "/v1/chat/completions", json_body=body)
            expected = expected_text(chat_prompt(messages), length)
            is_correct = result.outcome is not SendOutcome.ANSWERED or (
                chat_text(result.body, kind) == expected
            )
        if result.outcome is SendOutcome.ANSWERED and not is_correct:
            self.journal.wrong.append(
                f"{kind} {token}: answer is incomplete or not its own"
            )
        self.journal.count_attempt(kind, result.outcome)
        return result.outcome

    async def hand_over(self, *, max_attempts: int = MAX_ATTEMPTS) -> SendOutcome:
        """Send a hand-over a random number of times with the same key.

        Args:
            max_attempts: Maximum number of attempts.

        Returns:
            The outcome of the last attempt.
        """
        key = f"c{self.number}-{next(self.counter)}"
        record = self.journal.handovers[key]
        outcome = SendOutcome.BROKEN
        for _ in range(self.rng.randint(1, max_attempts)):
            result = await self.send(
                "POST", HANDOVERS, json_body={"packet": key}, key=key
            )
            outcome = result.outcome
            record.outcomes.append(outcome)
            self.journal.count_attempt(Kind.HANDOVER, outcome)
            if outcome is SendOutcome.ANSWERED:
                answer = json.loads(result.body)
                record.executions.add(f"{answer['request_id']} {answer['execution']}")
                if answer["idempotency_key"] != key:
                    self.journal.wrong.append(
                        f"{key} received another request's answer"
                    )
        return outcome

    async def send(
        self, method: str, path: str, *, json_body: Any = None, key: str = ""
    ) -> SendResult:
        """Send a request through a random entry."""
        headers = {
            "Authorization": f"Bearer {api_key(CUSTOMER)}",
            "X-Request-Timeout": str(REQUEST_TIMEOUT_S),
        }
        if key:
            headers["Idempotency-Key"] = key
        url = self.rng.choice(self.cluster.entry_urls) + path
        try:
            async with self.session.request(
                method, url, json=json_body, headers=headers
            ) as answer:
                return self.classify(answer, await answer.text())
        except aiohttp.ClientConnectorError:
            return SendResult(SendOutcome.NOT_RUN)
        except (aiohttp.ClientError, TimeoutError):
            return SendResult(SendOutcome.BROKEN)

    def classify(self, answer: aiohttp.ClientResponse, body: str) -> SendResult:
        """Return the result that a reply reports, and check its Retry-After header."""
        if answer.status == 200:
            return SendResult(SendOutcome.ANSWERED, body)
        error = json.loads(body)["error"]
        self.journal.codes[error["code"]] += 1
        is_retryable = error["not_run"] and answer.status in RETRYABLE_STATUSES
        if is_retryable and "Retry-After" not in answer.headers:
            self.journal.wrong.append(f"{error['code']}: Retry-After header is missing")
        return SendResult(
            SendOutcome.NOT_RUN if error["not_run"] else SendOutcome.UNKNOWN, body
        )


def chat_text(body: str, kind: Kind) -> str:
    """Return the text of a chat's answer; empty if a stream has no end marker."""
    if kind is Kind.WHOLE:
        return str(json.loads(body)["choices"][0]["message"]["content"])
    events = body.strip().split("\n\n")
    if events.pop() != "data: [DONE]":
        return ""
    choices = [
        choice
        for event in events
        for choice in json.loads(event.removeprefix("data: "))["choices"]
    ]
    return "".join(choice["delta"].get("content", "") for choice in choices)
