"""Sums the retries that entries logged, and finds the windows with most of them."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

from skylarkdoor_bench._logs import read_records


class Second(NamedTuple):
    """Requests and retries of one service within a second, over all entries.

    Attributes:
        requests: Requests of callers.
        approved: Retries that the entries' budgets allowed.
        sent: Retries that were sent to an upstream.
        waiting: Retries that were allowed and not sent yet, at the end.
    """

    requests: int = 0
    approved: int = 0
    sent: int = 0
    waiting: int = 0

    def plus(self, other: "Second") -> "Second":
        """Return the sums of two."""
        return Second(*(one + two for one, two in zip(self, other, strict=True)))


class Window(NamedTuple):
    """The retries of one service within a window, over all entries.

    Attributes:
        service: The service.
        began: Unix time of its begin, in seconds.
        counts: Sums over the window; `waiting` is the most of its seconds.
    """

    service: str
    began: int
    counts: Second


def sum_seconds(logs: Iterable[Path]) -> dict[str, dict[int, Second]]:
    """Return the sums over all logs, by service and Unix time in whole seconds."""
    sums: dict[str, dict[int, Second]] = defaultdict(dict)
    for log in logs:
        for record in read_records(log):
            counts = read_counts(record)
            if counts is None:
                continue
            second = int(datetime.fromisoformat(record["timestamp"]).timestamp())
            of_service = sums[record["service"]]
            of_service[second] = of_service.get(second, Second()).plus(counts)
    return sums


def read_counts(record: dict[str, Any]) -> Second | None:
    """Return what a log record adds to the counts of its second; None if nothing.

    Each retry that is sent has a record of its own, as an entry that is killed does not
    log the counts of its last second.
    """
    match record.get("event_name"):
        case "retry_sent" if record.get("allowed", True):
            return Second(sent=1)
        case "retries_counted":
            return Second(
                requests=int(record["requests"]),
                approved=int(record["approved"]),
                waiting=int(record["waiting"]),
            )
    return None


def worst_windows(logs: Iterable[Path], *, window_s: int) -> Iterator[Window]:
    """Yield the window with most sent retries of each service.

    Args:
        logs: JSON logs of the entries.
        window_s: Length of the window, in seconds.
    """
    for service, seconds in sorted(sum_seconds(logs).items()):
        windows = (
            Window(service, began, sum_window(seconds, began, window_s))
            for began in seconds
        )
        yield max(windows, key=lambda window: window.counts.sent)


def sum_window(seconds: dict[int, Second], began: int, window_s: int) -> Second:
    """Return the sums over one window."""
    within = [
        seconds.get(second, Second()) for second in range(began, began + window_s)
    ]
    return Second(
        requests=sum(second.requests for second in within),
        approved=sum(second.approved for second in within),
        sent=sum(second.sent for second in within),
        waiting=max(second.waiting for second in within),
    )
