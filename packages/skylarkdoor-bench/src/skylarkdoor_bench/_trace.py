"""Traces of arrivals: one JSON object a line."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Literal, NamedTuple

from skylarkdoor.settings import convert, to_plain

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


def write_trace(path: Path, arrivals: Iterable[Arrival]) -> None:
    """Write arrivals as JSON lines."""
    lines = [json.dumps(without_defaults(arrival)) for arrival in arrivals]
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


def without_defaults(arrival: Arrival) -> dict[str, Any]:
    """Return an arrival's fields without those that hold their default."""
    defaults = Arrival._field_defaults
    fields: dict[str, Any] = to_plain(arrival)
    return {
        name: value
        for name, value in fields.items()
        if name not in defaults or defaults[name] != value
    }
