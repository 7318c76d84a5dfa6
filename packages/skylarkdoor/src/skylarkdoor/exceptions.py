"""Errors of the shared library."""

__all__ = [
    "ArgumentError",
    "InvariantBrokenError",
    "OutboxFullError",
    "ServiceAbsentError",
    "ServiceCycleError",
    "ServiceExistsError",
    "SettingsError",
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
    """Settings are malformed; the message names the path and what was expected."""

    def __init__(self, message: str, *, path: str = "", source: str = "") -> None:
        self.message = message
        self.path = path
        self.source = source
        super().__init__(": ".join(part for part in (source, path, message) if part))
