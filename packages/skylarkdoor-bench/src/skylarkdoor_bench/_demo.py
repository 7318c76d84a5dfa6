"""Demo that sends a few requests to a small deployment and checks the answers."""

import asyncio
import json
import shlex
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp

from skylarkdoor_bench._caller import Answer, Caller, CutStreamError
from skylarkdoor_bench._deployments import api_key, small_demo
from skylarkdoor_bench._launcher import Cluster
from skylarkdoor_bench._logs import Span, span_tree
from skylarkdoor_standins import ChatMessage, chat_prompt, expected_text

CUSTOMER = "teika-garden"
MODEL = "garden-7b"
SERVICE = "registry-1"
PACKET_PATH = "/services/registry/packets/17"
HANDOVER_PATH = "/services/registry/handovers"
MESSAGES = [ChatMessage(role="user", content="When are broad beans sown in Teika?")]
MAX_TOKENS = 12
HANDOVER = {"packet": 17, "to": "volunteer 4"}
_SPANS_TIMEOUT_S = 2.0
_SPANS_INTERVAL_S = 0.1
_ROOT_SPAN = "entry"

Echo = Callable[[str], None]


class DemoFailedError(Exception):
    """A request of the demo failed or had an unexpected answer."""


async def run_demo(
    *, keep: bool, directory: Path | None = None, echo: Echo = print
) -> None:
    """Start the small demo, send its requests and stop it.

    Args:
        keep: Whether the deployment keeps running until cancelled.
        directory: Directory for settings files and logs; by default a temporary
            directory that is removed at the end.
        echo: Prints a line.

    Raises:
        DemoFailedError: A request failed or had an unexpected answer.
        ProcessFailedError: A process did not start.
    """
    echo("starting platform, engines, service, sidecars and entries")
    async with Cluster(small_demo(), directory=directory) as cluster:
        await _Demo(cluster, echo).run()
        if keep:
            _show_commands(cluster, echo)
            await asyncio.Event().wait()


class _Demo:
    """Sends the requests of the demo and checks their answers."""

    def __init__(self, cluster: Cluster, echo: Echo):
        self.cluster = cluster
        self.echo = echo
        key = api_key(CUSTOMER)
        self.callers = [
            Caller(cluster.session, url, key=key) for url in cluster.entry_urls
        ]

    async def run(self) -> None:
        try:
            for index, caller in enumerate(self.callers):
                self.echo(f"\nentry {caller.url}")
                await self._chat(caller)
                await self._look_up(caller)
                other = self.callers[index - 1]
                await self._hand_over(caller, other, key=f"handover-{index + 1}")
        except (aiohttp.ClientError, CutStreamError, ValueError) as error:
            raise DemoFailedError(f"a request failed: {error!r}") from error
        crashed = self.cluster.crashed()
        _expect(not crashed, f"processes ended unexpectedly: {crashed}")
        self.echo("\nall answers are complete and correct")

    async def _chat(self, caller: Caller) -> None:
        answer = await caller.stream_chat(MODEL, MESSAGES, max_tokens=MAX_TOKENS)
        await self._show("streamed chat", answer)
        wanted = expected_text(chat_prompt(MESSAGES), MAX_TOKENS)
        _expect(answer.body == wanted, f"the chat's answer is not {wanted!r}")

    async def _look_up(self, caller: Caller) -> None:
        answer = await caller.send("GET", PACKET_PATH)
        await self._show("packet lookup", answer)
        _expect(
            _parse_body(answer)["path"] == "/packets/17", "the lookup's path is wrong"
        )

    async def _hand_over(self, caller: Caller, other: Caller, *, key: str) -> None:
        headers = {"Idempotency-Key": key}
        answers = []
        for title, sender in [
            ("hand-over", caller),
            ("same hand-over again", caller),
            ("same hand-over through the other entry", other),
        ]:
            answer = await sender.send(
                "POST", HANDOVER_PATH, body=HANDOVER, headers=headers
            )
            await self._show(title, answer)
            answers.append(_parse_body(answer))
        _expect(answers[1:] == answers[:-1], "the answers to the hand-over differ")
        runs = await self._runs(key)
        _expect(runs == 1, f"the hand-over was executed {runs} times instead of once")

    async def _runs(self, key: str) -> int:
        stats = await self.cluster.upstream_stats(SERVICE)
        return sum(item["idempotency_key"] == key for item in stats["executions"])

    async def _show(self, title: str, answer: Answer) -> None:
        self.echo(f"  {title}: {answer.status} {answer.body}")
        for depth, span in span_tree(await self._spans(answer.trace_id)):
            line = f"span {span.name} at {span.instance} {span.duration_ms} ms"
            self.echo(f"    {'  ' * depth}{line}")
        _expect(answer.status == 200, f"{title} was answered with {answer.status}")

    async def _spans(self, trace_id: str) -> list[Span]:
        """Return the spans of a trace after its root span has ended."""
        spans: list[Span] = []
        for _ in range(round(_SPANS_TIMEOUT_S / _SPANS_INTERVAL_S)):
            spans = self.cluster.spans(trace_id)
            if _has_root(spans):
                break
            await asyncio.sleep(_SPANS_INTERVAL_S)
        return spans


def _has_root(spans: list[Span]) -> bool:
    return any(span.name == _ROOT_SPAN for span in spans)


def _expect(holds: bool, message: str) -> None:
    if not holds:
        raise DemoFailedError(message)


def _parse_body(answer: Answer) -> dict[str, Any]:
    document: dict[str, Any] = json.loads(answer.body)
    return document


def _show_commands(cluster: Cluster, echo: Echo) -> None:
    key = api_key(CUSTOMER)
    chat = {"model": MODEL, "messages": MESSAGES, "max_tokens": 12, "stream": True}
    authorization = f"-H 'Authorization: Bearer {key}'"
    json_type = "-H 'Content-Type: application/json'"
    url = cluster.entry_urls[0]
    echo("\nthe deployment runs until Ctrl-C; example commands:")
    echo(
        f"  curl -N {authorization} {json_type} "
        f"-d {shlex.quote(json.dumps(chat))} {url}/v1/chat/completions"
    )
    echo(f"  curl {authorization} {url}{PACKET_PATH}")
    echo(
        f"  curl {authorization} {json_type} -H 'Idempotency-Key: k1' "
        f"-d {shlex.quote(json.dumps(HANDOVER))} {url}{HANDOVER_PATH}"
    )
    for name, daemon in cluster.daemons.items():
        echo(f"  curl {daemon.internal_url}/status  # {name}")
