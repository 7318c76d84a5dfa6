"""Errors of direct entries and guards."""

from typing import TYPE_CHECKING

from skylarkdoord.exceptions import DaemonError, NotRunError

if TYPE_CHECKING:
    from aiohttp import web

    from skylarkdoord.direct._adapter import Row

__all__ = [
    "AdapterAbsentError",
    "AnswerTruncatedError",
    "BadCallError",
    "ConfigUnreadError",
    "ConflictError",
    "DirectError",
    "FirstByteTimeoutError",
    "FleetUnknownError",
    "HistoryLostError",
    "KeyUnknownError",
    "MemoryFullError",
    "NoFreeSlotError",
    "QuotaError",
    "RouteAbsentError",
    "RowError",
    "StoreError",
    "UpstreamFailedError",
    "UpstreamNotRunError",
    "UpstreamSilentError",
    "VersionGoneError",
    "VersionUnknownError",
]


class DirectError(DaemonError):
    """Base class of the errors of direct entries and guards."""


class AdapterAbsentError(DirectError):
    """The settings name an adapter that cannot be loaded."""


class BadCallError(DirectError):
    """The caller's request is malformed.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int, message: str) -> None:
        self.status = status
        super().__init__(message)


class RouteAbsentError(DirectError):
    """No route matches the request."""


class KeyUnknownError(DirectError):
    """The request's API key belongs to no customer."""


class FleetUnknownError(DirectError):
    """No configuration is known yet."""


class ConfigUnreadError(DirectError):
    """The part of the configuration that decides on the request could not be read."""


class RowError(DirectError):
    """The contents of a row of the store, or of an engine's report, are malformed."""


class StoreError(DirectError):
    """A call of the store failed."""


class HistoryLostError(StoreError):
    """The store no longer has the requested changes."""


class ConflictError(StoreError):
    """A conditional write was refused, as the row has another version.

    Attributes:
        row: The row as it is now; None if it does not exist.
    """

    def __init__(self, message: str, row: "Row | None") -> None:
        self.row = row
        super().__init__(message)


class QuotaError(NotRunError):
    """The customer has used up its limit."""


class NoFreeSlotError(NotRunError):
    """No upstream had a free slot for the request in time."""


class MemoryFullError(NotRunError):
    """The entry holds too many bytes to take the request's body."""


class VersionGoneError(NotRunError):
    """No upstream is left of the version that began the request's stream."""


class VersionUnknownError(NotRunError):
    """The version that began the stream is unknown, so that it can't be resumed."""


class UpstreamNotRunError(NotRunError):
    """The request is known not to have run at the upstream.

    Either the upstream states it or the connection failed before the request was sent.

    Attributes:
        reached: Whether the request reached the upstream.
    """

    def __init__(self, code: str, message: str, *, reached: bool) -> None:
        self.reached = reached
        super().__init__(code, message)


class UpstreamSilentError(DirectError):
    """The upstream sent no valid response; the request may have run."""


class FirstByteTimeoutError(UpstreamSilentError):
    """The upstream did not begin its response in time; the request may have run."""


class UpstreamFailedError(DirectError):
    """The upstream ran the request and responded with an error.

    Attributes:
        response: The response to send to the caller.
    """

    def __init__(self, response: "web.Response") -> None:
        self.response = response
        super().__init__(f"status {response.status}")


class AnswerTruncatedError(DirectError):
    """The upstream's response ended before it was complete."""
