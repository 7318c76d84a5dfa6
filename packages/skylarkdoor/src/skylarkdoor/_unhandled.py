"""Events for what Python and libraries would write as plain text on standard error."""

import asyncio
import io
import logging
import math
import sys
import threading
import time
import traceback
from collections import Counter, deque
from collections.abc import Callable
from types import TracebackType
from typing import Any

from skylarkdoor import events

# Bytes of a text in a log line, and frames of a traceback. A line with the frames and
# three texts, all of them escaped, is shorter than `MAX_LINE_BYTES` of the output.
MAX_TEXT_BYTES = 400
MAX_FRAMES = 5
MAX_FRAME_BYTES = 100
# A library whose errors quote the requests that it reads, which must not be logged.
QUOTING_LIBRARY = "aiohttp"
# What asyncio logs, without an exception, about writes to a connection that has ended.
CLOSED_MESSAGES = frozenset({"socket.send() raised exception."})
# Equal reports are logged at most once in this interval.
REPEAT_INTERVAL_S = 1.0
# Different reports that are remembered.
MAX_REPORTS = 256

_log = events.get_logger("unhandled")


class Reports:
    """Logs reports, equal ones only once in an interval.

    Without descriptors, for instance, asyncio reports each connection that it can't
    accept, thousands a second.

    Args:
        clock: Returns monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.logged_at: dict[tuple[object, ...], float] = {}
        self.left_out: Counter[tuple[object, ...]] = Counter()

    def log(self, event: events.Event, text: str, **fields: Any) -> None:
        """Log a report, with the number of equal ones that were left out before it."""
        key = (event.number, text, fields.get("error"))
        now = self.clock()
        if now - self.logged_at.get(key, -math.inf) < REPEAT_INTERVAL_S:
            self.left_out[key] += 1
            return
        if len(self.logged_at) >= MAX_REPORTS:
            self.logged_at.clear()
            self.left_out.clear()
        self.logged_at[key] = now
        _log.event(event, text=text, left_out=self.left_out.pop(key, 0), **fields)


_reports = Reports()


def shorten(text: str, max_bytes: int = MAX_TEXT_BYTES) -> str:
    """Return the beginning of a text as printable ASCII, with escapes for the rest."""
    printable = text[:max_bytes].encode("unicode_escape").decode("ascii")
    if len(printable) <= max_bytes and len(text) <= max_bytes:
        return printable
    return printable[:max_bytes] + "..."


def describe(error: BaseException) -> str:
    """Return the type and message of an exception, shortened.

    The message is left out where it may quote what was received.
    """
    kind = type(error)
    if is_quoting(kind.__module__) or isinstance(error, UnicodeError):
        return kind.__name__
    try:
        return shorten(repr(error))
    except Exception:
        return kind.__name__


def is_quoting(name: str) -> bool:
    """Return whether a module or logger belongs to the library that quotes requests."""
    return name.partition(".")[0] == QUOTING_LIBRARY


def last_frames(trace: TracebackType | None) -> list[str]:
    """Return the last frames of a traceback as `file:line function`.

    The files themselves are not read.
    """
    frames = deque(traceback.walk_tb(trace), maxlen=MAX_FRAMES)
    return [
        shorten(
            f"{frame.f_code.co_filename[-60:]}:{line} {frame.f_code.co_name}",
            MAX_FRAME_BYTES,
        )
        for frame, line in frames
    ]


def error_fields(
    error: BaseException | None, *, is_private: bool = False
) -> dict[str, Any]:
    """Return the fields of a log line for an exception.

    Args:
        error: The exception; None if there is none.
        is_private: Whether its message must not be logged.
    """
    if error is None:
        return {}
    text = type(error).__name__ if is_private else describe(error)
    return {"error": text, "frames": last_frames(error.__traceback__)}


class LibraryRecords(logging.Handler):
    """Logging handler that logs the records of libraries as events.

    Args:
        closed: Exceptions that tell that a connection has ended, which is no fault.
    """

    def __init__(self, closed: tuple[type[BaseException], ...]) -> None:
        super().__init__(logging.WARNING)
        self.closed = closed

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as an event."""
        error = record.exc_info[1] if record.exc_info else None
        try:
            message = record.getMessage()
        except Exception:
            message = str(record.msg)
        is_closed = isinstance(error, self.closed) or message in CLOSED_MESSAGES
        _reports.log(
            events.CONNECTION_ENDED if is_closed else events.LIBRARY_WARNED,
            shorten(message),
            logger=record.name,
            severity=record.levelname,
            **error_fields(error, is_private=is_quoting(record.name)),
        )


class StandardError(io.TextIOBase):
    """Stands in for standard error; logs each line written to it as an event."""

    def __init__(self) -> None:
        super().__init__()
        self.rest = ""
        self.is_logging = False

    def writable(self) -> bool:
        """Return that text can be written."""
        return True

    def write(self, text: str) -> int:
        """Log the complete lines."""
        *lines, self.rest = (self.rest[-MAX_TEXT_BYTES:] + text).split("\n")
        for line in lines:
            self.log_line(line)
        return len(text)

    def log_line(self, line: str) -> None:
        """Log a line, unless it tells that the logging itself failed."""
        if self.is_logging or not line.strip():
            return
        self.is_logging = True
        try:
            _reports.log(events.LIBRARY_WARNED, shorten(line), logger="stderr")
        finally:
            self.is_logging = False


def on_exception(
    kind: type[BaseException],
    error: BaseException | None,
    trace: TracebackType | None,
    *,
    source: str = "main",
) -> None:
    """Log an exception that nothing handled."""
    _reports.log(
        events.EXCEPTION_UNHANDLED,
        source,
        error=describe(error) if error is not None else kind.__name__,
        frames=last_frames(trace),
    )


def on_thread_exception(args: threading.ExceptHookArgs) -> None:
    """Log an exception that ended a thread."""
    if args.exc_type is not SystemExit:
        name = args.thread.name if args.thread else ""
        on_exception(
            args.exc_type, args.exc_value, args.exc_traceback, source=f"thread {name}"
        )


def on_unraisable(args: Any) -> None:
    """Log an exception that Python can't raise, such as one in a destructor."""
    on_exception(
        args.exc_type,
        args.exc_value,
        args.exc_traceback,
        source=shorten(
            f"{args.err_msg or 'ignored'}: {args.object!r}", MAX_FRAME_BYTES
        ),
    )


def watch_exceptions() -> None:
    """Log exceptions as events that leave the program, a thread or a destructor."""
    sys.excepthook = on_exception
    sys.unraisablehook = on_unraisable
    threading.excepthook = on_thread_exception


def watch_libraries(closed: tuple[type[BaseException], ...]) -> None:
    """Log as events what libraries log or print to standard error.

    Args:
        closed: Exceptions that tell that a connection has ended.
    """
    logging.getLogger().handlers = [LibraryRecords(closed)]
    logging.captureWarnings(capture=True)
    logging.raiseExceptions = False
    sys.stderr = StandardError()


class LoopErrors:
    """Logs what an event loop reports of tasks and callbacks.

    Args:
        closed: Exceptions that tell that a connection has ended.
    """

    def __init__(self, closed: tuple[type[BaseException], ...]) -> None:
        self.closed = closed

    def __call__(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log one report."""
        error = context.get("exception")
        source = str(context.get("message", ""))
        task = context.get("task") or context.get("future")
        if isinstance(task, asyncio.Task):
            coroutine = getattr(task.get_coro(), "__qualname__", "")
            source = f"{source}: {task.get_name()} {coroutine}"
        source = shorten(source, 2 * MAX_FRAME_BYTES)
        if error is None:
            _reports.log(events.LIBRARY_WARNED, source, logger="asyncio")
            return
        is_closed = isinstance(error, self.closed)
        _reports.log(
            events.CONNECTION_ENDED if is_closed else events.EXCEPTION_UNHANDLED,
            source,
            **error_fields(error),
        )
