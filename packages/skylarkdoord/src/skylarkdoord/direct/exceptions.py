"""Errors of the direct entry."""

from typing import TYPE_CHECKING

from skylarkdoord.exceptions import DaemonError, NotRunError

if TYPE_CHECKING:
    from aiohttp import web

__all__ = [
    "AdapterAbsentError",
    "AnswerCutError",
    "BadCallError",
    "DirectError",
    "FleetUnknownError",
    "HistoryLostError",
    "KeyUnknownError",
    "NoRoomError",
    "QuotaError",
    "RouteAbsentError",
    "RowError",
    "StoreError",
    "UpstreamFailedError",
    "UpstreamNotRunError",
    "UpstreamSilentError",
]


class DirectError(DaemonError):
    """Base of the direct entry's errors."""


class AdapterAbsentError(DirectError):
    """The settings name an adapter that cannot be loaded."""


class BadCallError(DirectError):
    """The caller's request is malformed."""

    def __init__(self, status: int, message: str) -> None:
        self.status = status
        super().__init__(message)


class RouteAbsentError(DirectError):
    """No route fits the request."""


class KeyUnknownError(DirectError):
    """The request's API key belongs to nobody."""


class FleetUnknownError(DirectError):
    """No configuration is known yet."""


class RowError(DirectError):
    """A row of the store cannot be used."""


class StoreError(DirectError):
    """The store did not answer a call."""


class HistoryLostError(StoreError):
    """The store no longer has the changes that were asked for."""


class QuotaError(NotRunError):
    """The customer has used up its limit."""


class NoRoomError(NotRunError):
    """No upstream had room for the request in time."""


class UpstreamNotRunError(NotRunError):
    """The upstream says, or the connection shows, that the request did not run.

    Attributes:
        reached: Whether the request arrived at the upstream.
    """

    def __init__(self, code: str, message: str, *, reached: bool) -> None:
        self.reached = reached
        super().__init__(code, message)


class UpstreamSilentError(DirectError):
    """The upstream's answer did not come, and the request may have run."""


class UpstreamFailedError(DirectError):
    """The upstream ran the request and answered with an error of its own.

    Attributes:
        response: The answer, ready for the caller.
    """

    def __init__(self, response: "web.Response") -> None:
        self.response = response
        super().__init__(f"status {response.status}")


class AnswerCutError(DirectError):
    """The upstream's answer ended before it was whole."""
