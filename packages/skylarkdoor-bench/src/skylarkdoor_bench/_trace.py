"""Reads and writes traces of arrivals, with one JSON object per line."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Literal, NamedTuple

from skylarkdoor.settings import convert, to_plain

Kind = Literal["chat", "completion", "service"]


class Arrival(NamedTuple):
    """A request of a trace.

    Attributes:
        at_s: Arrival time, in seconds from the start.
        customer: Customer that sends the request.
        kind: Chat or completion of a model, or call of a plain service.
        stream: Whether the answer is streamed.
        prompt_words: Length of the prompt without the shared prefix, in words.
        prefix: Name of the prefix shared with other requests, or empty.
        prefix_words: Length of the prefix, in words.
        max_tokens: Length of the answer, in tokens; a token is a word.
        method: HTTP method of a call of a plain service.
        path: Path of that call below its pool.
        deadline_s: Time limit set by the caller; 0 for the default of its tier.
        key: Idempotency key, or empty.
        idempotent: Whether the request may be executed more than once.
        text: Text at the end of the prompt.
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
        """Length of the whole prompt, in words."""
        return self.prefix_words + self.prompt_words


def write_trace(path: Path, arrivals: Iterable[Arrival]) -> None:
    """Write arrivals as JSON lines."""
    lines = [json.dumps(without_defaults(arrival)) for arrival in arrivals]
    path.write_text("".join(f"{line}\n" for line in lines))


def read_trace(path: Path) -> list[Arrival]:
    """Read arrivals from a file.

    Raises:
        SettingsError: A line is not a valid arrival.
    """
    lines = path.read_text().splitlines()
    return [
        convert(json.loads(line), Arrival, source=f"{path.name}:{number}")
        for number, line in enumerate(lines, start=1)
    ]


def without_defaults(arrival: Arrival) -> dict[str, Any]:
    """Return the fields of an arrival that differ from their defaults."""
    defaults = Arrival._field_defaults
    fields: dict[str, Any] = to_plain(arrival)
    return {
        name: value
        for name, value in fields.items()
        if name not in defaults or defaults[name] != value
    }
