"""Builds HTTP calls from arrivals, together with the expected answers."""

import json
from collections.abc import Sequence
from typing import Any, NamedTuple

from skylarkdoor_bench._deployments import Deployment
from skylarkdoor_bench._trace import Arrival
from skylarkdoor_standins import ChatMessage, chat_prompt, expected_text


class Call(NamedTuple):
    """The HTTP call for an arrival, and the expected answer.

    Attributes:
        method: HTTP method.
        path: Path at the entry.
        body: Request body, or None.
        expected: Expected text of a model's answer; empty for a plain service.
    """

    method: str
    path: str
    body: bytes | None
    expected: str


def make_calls(
    deployment: Deployment, arrivals: Sequence[Arrival], *, first: int = 0
) -> list[Call]:
    """Return the calls for a deployment's first model and first service.

    Args:
        deployment: The deployment that is called.
        arrivals: The arrivals for which calls are built.
        first: Number of the first arrival; prompts contain the number, so that
            they differ.
    """
    pools = deployment.fleet.pools
    model_pools = [pool for pool in pools.values() if pool.kind == "model"]
    services = [name for name, pool in pools.items() if pool.kind == "service"]
    model = model_pools[0].models[0]
    return [
        make_call(arrival, number=number, model=model, pool=services[0])
        for number, arrival in enumerate(arrivals, start=first)
    ]


def make_call(arrival: Arrival, *, number: int, model: str, pool: str) -> Call:
    """Return the call for an arrival.

    Args:
        arrival: The arrival.
        number: Position in the trace; it makes the prompt unique.
        model: Model that chats and completions request.
        pool: Pool of the plain service.
    """
    if arrival.kind == "service":
        return _service_call(arrival, pool=pool)
    prefix = _prefix_text(arrival)
    own_text = _own_text(arrival, number)
    body: dict[str, Any] = {"model": model, "max_tokens": arrival.max_tokens}
    if arrival.stream:
        body["stream"] = True
    if arrival.kind == "completion":
        prompt = f"{prefix} {own_text}".strip()
        body["prompt"] = prompt
        path = "/v1/completions"
    else:
        messages = _messages(prefix, own_text)
        prompt = chat_prompt(messages)
        body["messages"] = messages
        path = "/v1/chat/completions"
    expected = expected_text(prompt, arrival.max_tokens)
    return Call("POST", path, json.dumps(body).encode(), expected)


def _service_call(arrival: Arrival, *, pool: str) -> Call:
    body = None
    if arrival.method != "GET":
        body = json.dumps({"record": arrival.key or arrival.text}).encode()
    return Call(arrival.method, f"/services/{pool}{arrival.path}", body, "")


def _messages(prefix: str, own: str) -> Sequence[ChatMessage]:
    messages = [ChatMessage(role="user", content=own)]
    if prefix:
        messages.insert(0, ChatMessage(role="system", content=prefix))
    return messages


def _prefix_text(arrival: Arrival) -> str:
    words = (f"{arrival.prefix}-{index}" for index in range(arrival.prefix_words))
    return " ".join(words)


def _own_text(arrival: Arrival, number: int) -> str:
    words = [f"r{number}-{index}" for index in range(arrival.prompt_words)]
    if arrival.text:
        words.append(arrival.text)
    return " ".join(words)
