"""Errors of the shared library."""

from collections.abc import Sequence

__all__ = [
    "ArgumentError",
    "EventStreamError",
    "InvariantBrokenError",
    "OutboxFullError",
    "ResponseLostError",
    "ServiceAbsentError",
    "ServiceCycleError",
    "ServiceExistsError",
    "SettingsError",
    "SettingsErrorGroup",
    "SkylarkdoorError",
    "StoppingError",
]


class SkylarkdoorError(Exception):
    """Base of every error that skylarkdoor raises."""


class ArgumentError(SkylarkdoorError, ValueError):
    """A function was called with an invalid argument."""


class EventStreamError(SkylarkdoorError):
    """A stream of server-sent events is malformed, or has too large an event."""


class InvariantBrokenError(SkylarkdoorError):
    """A named invariant does not hold."""


class OutboxFullError(SkylarkdoorError):
    """The outbox of a peer is full because the peer receives too slowly."""


class ResponseLostError(SkylarkdoorError):
    """A connection was closed after a request was sent on it, before the response."""


class ServiceAbsentError(SkylarkdoorError):
    """No service is registered under the name, or it is of another class."""


class ServiceExistsError(SkylarkdoorError):
    """Another service is already registered under the name."""


class ServiceCycleError(SkylarkdoorError):
    """Services require each other in a cycle."""


class StoppingError(SkylarkdoorError):
    """A service gave up its start because the process is asked to stop."""


class SettingsError(SkylarkdoorError):
    """Settings are invalid; the message names the path and what was expected.

    Attributes:
        message: What is wrong and what was expected.
        path: Path of the field.
        source: File or subtree that contains the field.
        keys: Parts of the path, from the root of the source.
        line: Line in the source, 0 if unknown.
    """

    def __init__(
        self,
        message: str,
        *,
        path: str = "",
        source: str = "",
        keys: Sequence[str] = (),
        line: int = 0,
    ) -> None:
        self.message: str = message
        self.path = path
        self.source = source
        self.keys = tuple(keys)
        self.line = line
        location = f"line {line}" if line else ""
        parts = (source, location, path, message)
        super().__init__(": ".join(part for part in parts if part))

    @property
    def problems(self) -> tuple["SettingsError", ...]:
        """The individual errors that this error represents."""
        return (self,)


class SettingsErrorGroup(  # type: ignore[override]  # noqa: N818
    ExceptionGroup[SettingsError], SettingsError
):
    """Several settings are invalid.

    It derives from `SettingsError`, so catching that class covers both.
    """

    path = ""
    source = ""
    keys = ()
    line = 0

    def __init__(self, message: str, problems: Sequence[SettingsError]) -> None:
        ExceptionGroup.__init__(self, message, problems)

    def __str__(self) -> str:
        return "; ".join(str(problem) for problem in self.problems)

    @property
    def problems(self) -> tuple[SettingsError, ...]:
        """The individual errors in the group."""
        return tuple(
            part for part in self.exceptions if isinstance(part, SettingsError)
        )
