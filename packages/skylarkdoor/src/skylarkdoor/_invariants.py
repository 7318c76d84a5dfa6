"""Checks of the product's promises, counted and logged when broken."""

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
    """A statement that must always hold.

    Attributes:
        name: Short name, the label in metrics.
        statement: The statement in one sentence.
    """

    name: str
    statement: str


class _Policy:
    fatal: bool = True
    on_broken: Callable[[], None] | None = None


_log = events.get_logger("invariants")


def define(name: str, statement: str) -> Invariant:
    """Return an invariant whose metrics stand at zero from the start."""
    CHECKS.labels(name)
    BROKEN.labels(name)
    return Invariant(name, statement)


def check(invariant: Invariant, holds: bool, **detail: Any) -> None:
    """Count the check; when it fails, log it and, if fatal, raise.

    Args:
        invariant: What must hold.
        holds: Whether it does.
        detail: Fields of the log line.

    Raises:
        InvariantBrokenError: It does not hold and violations are fatal.
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
    """Set what a broken invariant does.

    Args:
        fatal: Raise an error, rather than only count and log.
        exit_process: End the process at once; no task can swallow the error.
    """
    _Policy.fatal = fatal
    _Policy.on_broken = _exit if exit_process else None


def _exit() -> None:
    sys.stderr.flush()
    os._exit(EXIT_STATUS)
