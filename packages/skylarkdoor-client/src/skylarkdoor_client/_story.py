"""The story of one request: its log lines from all processes, in order of time."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

# Fields of every log line, which are shown separately or omitted.
COMMON_FIELDS = frozenset(
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


class LogLine(NamedTuple):
    """One log line of a request.

    Attributes:
        timestamp: Time at which it was written, in ISO 8601 format.
        instance: Instance that wrote it.
        event: Name of the event.
        fields: The event's own fields.
    """

    timestamp: str
    instance: str
    event: str
    fields: dict[str, Any]


def read_story(lines: Iterable[str], request_id: str) -> list[LogLine]:
    """Return the log lines of a request, in order of time.

    A line may have a prefix before its JSON object, as some log collectors add. Lines
    without a JSON object are ignored.
    """
    return sorted(_request_lines(lines, request_id), key=lambda found: found.timestamp)


def _request_lines(lines: Iterable[str], request_id: str) -> Iterator[LogLine]:
    for line in lines:
        if request_id not in line:
            continue
        _, brace, rest = line.partition("{")
        try:
            record = json.loads(brace + rest)
        except ValueError:
            continue
        if record.get("request_id") != request_id:
            continue
        fields = {
            name: value for name, value in record.items() if name not in COMMON_FIELDS
        }
        yield LogLine(
            str(record.get("timestamp", "")),
            str(record.get("instance", "")),
            str(record.get("event_name", "")),
            fields,
        )


def story_text(log_lines: Iterable[LogLine]) -> str:
    """Return the text output, one line for each log line."""
    return "\n".join(
        " ".join(
            [
                log_line.timestamp,
                log_line.instance,
                log_line.event,
                *(f"{name}={value}" for name, value in log_line.fields.items()),
            ]
        )
        for log_line in log_lines
    )
