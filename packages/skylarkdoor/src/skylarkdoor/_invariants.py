"""Run-time checks of invariants; violations are counted, logged and can be fatal."""

import os
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from prometheus_client import Counter

from skylarkdoor import events
from skylarkdoor.exceptions import InvariantBrokenError

EXIT_STATUS = 70  # EX_SOFTWARE

CHECKS = Counter(
    "skylarkdoor_invariant_checks_total", "Invariants checked.", ["invariant"]
)
BROKEN = Counter(
    "skylarkdoor_invariant_broken_total", "Invariants found broken.", ["invariant"]
)


class Invariant(NamedTuple):
    """A condition that must always hold.

    Attributes:
        name: Short name, used as the label in metrics.
        statement: The condition in one sentence.
    """

    name: str
    statement: str


class _Policy:
    fatal: bool = True
    on_broken: Callable[[], None] | None = None


_log = events.get_logger("invariants")


def define(name: str, statement: str) -> Invariant:
    """Return an invariant; its metrics are exported from now on, starting at zero."""
    CHECKS.labels(name)
    BROKEN.labels(name)
    return Invariant(name, statement)


def check(invariant: Invariant, holds: bool, **detail: Any) -> None:
    """Count a check of an invariant; log a violation and, if fatal, raise.

    Args:
        invariant: The invariant to check.
        holds: Whether the invariant holds.
        detail: Additional fields of the log line for a violation.

    Raises:
        InvariantBrokenError: The invariant does not hold and violations are
            fatal.
    """
    CHECKS.labels(invariant.name).inc()
    if holds:
        return
    BROKEN.labels(invariant.name).inc()
    _log.event(
        events.INVARIANT_BROKEN,
        invariant=invariant.name,
        statement=invariant.statement,
        **detail,
    )
    if not _Policy.fatal:
        return
    if _Policy.on_broken is not None:
        _Policy.on_broken()
    raise InvariantBrokenError(f"{invariant.name}: {invariant.statement} {detail}")


def configure(*, fatal: bool, exit_process: bool = False) -> None:
    """Set how the process reacts to a violation.

    Args:
        fatal: Whether a violation raises an error after it is counted and logged.
        exit_process: Whether a fatal violation ends the process at once, so that
            no task can suppress the error.
    """
    _Policy.fatal = fatal
    _Policy.on_broken = _exit if exit_process else None


def _exit() -> None:
    sys.stderr.flush()
    os._exit(EXIT_STATUS)
