"""Traces of arrivals: one JSON object a line, and the requests made of them."""

import json
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, Literal, NamedTuple

from skylarkdoor.settings import convert, to_plain
from skylarkdoor_standins import ChatMessage, chat_prompt, expected_text

Kind = Literal["chat", "completion", "service"]


class Arrival(NamedTuple):
    """A request of a trace.

    Attributes:
        at_s: When it is sent, in seconds from the start.
        customer: Who sends it.
        kind: A chat or completion of a model, or a call of a plain service.
        stream: Whether the answer is streamed.
        prompt_words: Words of the prompt beyond the shared prefix.
        prefix: Name of the prefix shared with other requests, or empty.
        prefix_words: Words of the prefix.
        max_tokens: Words of the answer.
        method: Method of a call of a plain service.
        path: Path of that call below its pool.
        deadline_s: Time that the caller gives; 0 for the default of its tier.
        key: Idempotency key, or empty.
        idempotent: Whether it may run more than once.
        text: Text that the prompt ends with.
    """

    at_s: float
    customer: str
    kind: Kind
    stream: bool = False
    prompt_words: int = 0
    prefix: str = ""
    prefix_words: int = 0
    max_tokens: int = 0
    method: str = "GET"
    path: str = ""
    deadline_s: float = 0.0
    key: str = ""
    idempotent: bool = True
    text: str = ""

    @property
    def words(self) -> int:
        """All words of the prompt."""
        return self.prefix_words + self.prompt_words


class Call(NamedTuple):
    """What is sent for an arrival, and what must come back.

    Attributes:
        method: HTTP method.
        path: Path at the entry.
        body: The body, or None.
        expected: The text of a model's answer; empty for a plain service.
    """

    method: str
    path: str
    body: bytes | None
    expected: str


def write_trace(path: Path, arrivals: Iterable[Arrival]) -> None:
    """Write arrivals as JSON lines."""
    lines = [json.dumps(shortened(arrival)) for arrival in arrivals]
    path.write_text("".join(f"{line}\n" for line in lines))


def read_trace(path: Path) -> list[Arrival]:
    """Return the arrivals of a file.

    Raises:
        SettingsError: A line is not an arrival.
    """
    lines = path.read_text().splitlines()
    return [
        convert(json.loads(line), Arrival, source=f"{path.name}:{number}")
        for number, line in enumerate(lines, start=1)
    ]


def shortened(arrival: Arrival) -> dict[str, Any]:
    """Return an arrival's fields without those that hold their default."""
    defaults = Arrival._field_defaults
    fields: dict[str, Any] = to_plain(arrival)
    return {
        name: value
        for name, value in fields.items()
        if name not in defaults or defaults[name] != value
    }


def make_call(arrival: Arrival, *, number: int, model: str, pool: str) -> Call:
    """Return the call that an arrival stands for.

    Args:
        arrival: The arrival.
        number: Its place in the trace; makes its text unlike any other's.
        model: Model that chats and completions ask for.
        pool: Pool of the plain service.
    """
    if arrival.kind == "service":
        return _service_call(arrival, pool=pool)
    prefix = _prefix_text(arrival)
    own = _own_text(arrival, number)
    body: dict[str, Any] = {"model": model, "max_tokens": arrival.max_tokens}
    if arrival.stream:
        body["stream"] = True
    if arrival.kind == "completion":
        prompt = f"{prefix} {own}".strip()
        body["prompt"] = prompt
        path = "/v1/completions"
    else:
        messages = _messages(prefix, own)
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
