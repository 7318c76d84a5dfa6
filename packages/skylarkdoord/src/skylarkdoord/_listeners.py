"""Calls listeners so that the failure of one does not affect the others."""

import traceback
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TypeVarTuple

from skylarkdoor import events
from skylarkdoor.exceptions import InvariantBrokenError
from skylarkdoor.failures import reason
from skylarkdoord import _events

Arguments = TypeVarTuple("Arguments")

log = events.get_logger("listeners")


def call_all(
    listeners: Iterable[Callable[[*Arguments], None]],
    *arguments: *Arguments,
) -> None:
    """Call listeners in order; one that fails is logged.

    Args:
        listeners: The listeners.
        arguments: What each of them is called with.

    Raises:
        InvariantBrokenError: An invariant does not hold. The process ends.
    """
    for listener in listeners:
        try:
            listener(*arguments)
        except InvariantBrokenError:
            raise
        except Exception as error:
            name = getattr(listener, "__qualname__", repr(listener))
            # Not the error's text, which may contain what callers sent.
            frame = traceback.extract_tb(error.__traceback__)[-1]
            log.event(
                _events.LISTENER_FAILED,
                listener=name,
                error=reason(error),
                at=f"{Path(frame.filename).name}:{frame.lineno}",
            )
