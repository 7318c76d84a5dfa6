"""The story of one request, read from the logs of all processes."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

# Fields that every line has, shown apart or not at all.
COMMON = frozenset(
    {
        "event",
        "event_name",
        "instance",
        "level",
        "message",
        "part",
        "request_id",
        "timestamp",
    }
)


class Entry(NamedTuple):
    """One line about a request.

    Attributes:
        timestamp: When it was written, in ISO form.
        instance: Instance that wrote it.
        event: Name of the event.
        fields: The event's own fields.
    """

    timestamp: str
    instance: str
    event: str
    fields: dict[str, Any]


def read_story(lines: Iterable[str], request_id: str) -> list[Entry]:
    """Return what the lines say of a request, in the order of time.

    Lines that are no JSON objects are passed over; a prefix before the object,
    such as a collector writes, is allowed.
    """
    return sorted(_entries(lines, request_id), key=lambda entry: entry.timestamp)


def _entries(lines: Iterable[str], request_id: str) -> Iterator[Entry]:
    for line in lines:
        if request_id not in line:
            continue
        _, brace, rest = line.partition("{")
        try:
            said = json.loads(brace + rest)
        except ValueError:
            continue
        if said.get("request_id") != request_id:
            continue
        fields = {name: value for name, value in said.items() if name not in COMMON}
        yield Entry(
            str(said.get("timestamp", "")),
            str(said.get("instance", "")),
            str(said.get("event_name", "")),
            fields,
        )


def story_text(entries: Iterable[Entry]) -> str:
    """Return a line for each entry."""
    return "\n".join(
        " ".join(
            [
                entry.timestamp,
                entry.instance,
                entry.event,
                *(f"{name}={value}" for name, value in entry.fields.items()),
            ]
        )
        for entry in entries
    )
