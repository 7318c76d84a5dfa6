"""Errors of the shared library."""

from collections.abc import Sequence

__all__ = [
    "ArgumentError",
    "InvariantBrokenError",
    "OutboxFullError",
    "ServiceAbsentError",
    "ServiceCycleError",
    "ServiceExistsError",
    "SettingsError",
    "SettingsErrorGroup",
    "SkylarkdoorError",
]


class SkylarkdoorError(Exception):
    """Base of every error that skylarkdoor raises."""


class ArgumentError(SkylarkdoorError, ValueError):
    """A call was given an argument that it cannot take."""


class InvariantBrokenError(SkylarkdoorError):
    """A named invariant does not hold."""


class OutboxFullError(SkylarkdoorError):
    """A peer takes messages too slowly."""


class ServiceAbsentError(SkylarkdoorError):
    """No service is registered under the name."""


class ServiceExistsError(SkylarkdoorError):
    """A service is already registered under the name."""


class ServiceCycleError(SkylarkdoorError):
    """Services require each other in a circle."""


class SettingsError(SkylarkdoorError):
    """Settings are malformed; the message names the path and what was expected.

    Attributes:
        message: What is wrong and what was expected.
        path: Path of the field.
        source: File or subtree that holds it.
        keys: The path's parts, from the top of the source.
        line: Line in the source, 0 if it is not known.
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
        place = f"line {line}" if line else ""
        parts = (source, place, path, message)
        super().__init__(": ".join(part for part in parts if part))

    @property
    def problems(self) -> tuple["SettingsError", ...]:
        """Every single problem that the error stands for."""
        return (self,)


class SettingsErrorGroup(  # type: ignore[override]  # noqa: N818
    ExceptionGroup[SettingsError], SettingsError
):
    """Several settings are malformed; catch `SettingsError` to catch both."""

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
        """Every single problem."""
        return tuple(
            part for part in self.exceptions if isinstance(part, SettingsError)
        )
