"""Structured logs in which every line carries the number of its event."""

import logging
from typing import Any, NamedTuple

from pythonjsonlogger.json import JsonFormatter

from skylarkdoor._log_output import BoundedOutput
from skylarkdoor.exceptions import ArgumentError

ROOT_LOGGER = "skylarkdoor"
STDOUT = 1


class Event(NamedTuple):
    """Definition of a log event.

    Attributes:
        number: Stable number, unique in the product.
        name: Short name in lower case with underscores.
        level: Level of the `logging` module.
        text: Message of the log line, one sentence.
    """

    number: int
    name: str
    level: int
    text: str


CATALOGUE: dict[int, Event] = {}


def define(number: int, name: str, level: int, text: str) -> Event:
    """Add an event to the catalogue.

    Raises:
        ArgumentError: Another event already has this number.
    """
    if number in CATALOGUE:
        raise ArgumentError(f"event number {number} is already defined")
    event = Event(number, name, level, text)
    CATALOGUE[number] = event
    return event


class EventLogger:
    """Writes the log events of one component.

    Args:
        part: Name of the component, such as `entry.router`.
    """

    def __init__(self, part: str) -> None:
        self.logger = logging.getLogger(f"{ROOT_LOGGER}.{part}")

    def event(self, event: Event, **fields: Any) -> None:
        """Write one log line for the event with the given fields.

        Request and response bodies, API keys and tokens must not be logged.
        """
        if self.logger.isEnabledFor(event.level):
            extra = {"event": event.number, "event_name": event.name, **fields}
            self.logger.log(event.level, event.text, extra=extra)


def get_logger(part: str) -> EventLogger:
    """Return the logger of one component, such as `entry.router`."""
    return EventLogger(part)


def configure(
    *, level: str = "info", instance: str = "", descriptor: int = STDOUT
) -> None:
    """Write the product's events as JSON lines.

    Args:
        level: Lowest level written, as named in the `logging` module.
        instance: Instance name added to each line.
        descriptor: File descriptor to write to; standard output by default.
    """
    handler = BoundedOutput(descriptor, _report_dropped)
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(name)s %(message)s",
            rename_fields={"levelname": "level", "name": "part"},
            static_fields={"instance": instance},
            timestamp=True,
        )
    )
    root = logging.getLogger(ROOT_LOGGER)
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False


def _report_dropped(lines: int) -> None:
    get_logger("events").event(LINES_DROPPED, lines=lines)


SERVICE_STARTED = define(101, "service_started", logging.DEBUG, "Service started.")
TASK_FAILED = define(
    102, "task_failed", logging.ERROR, "A task failed; the process stops."
)
INVARIANT_BROKEN = define(
    103, "invariant_broken", logging.CRITICAL, "An invariant does not hold."
)
SPAN_ENDED = define(104, "span_ended", logging.INFO, "A traced operation ended.")
TASK_RESTARTED = define(
    106, "task_restarted", logging.ERROR, "A background task failed and starts anew."
)
TASK_ENDED = define(
    107, "task_ended", logging.WARNING, "A background task failed as it was stopped."
)
LIBRARY_WARNED = define(
    108, "library_warned", logging.WARNING, "A library reported a problem."
)
EXCEPTION_UNHANDLED = define(
    109, "exception_unhandled", logging.ERROR, "An exception was not handled."
)
CONNECTION_ENDED = define(
    110,
    "connection_ended",
    logging.INFO,
    "A library reported that a connection has ended.",
)
SERVICE_INTERRUPTED = define(
    111, "service_interrupted", logging.WARNING, "A service did not stop in time."
)
LINES_DROPPED = define(
    105,
    "lines_dropped",
    logging.WARNING,
    "Log lines were dropped: too many, too long, or not read in time.",
)
