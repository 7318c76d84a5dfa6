"""Errors of the daemon."""

from skylarkdoor.exceptions import SkylarkdoorError

__all__ = [
    "DaemonError",
    "DispatchError",
    "NotRunError",
    "OutcomeUnknownError",
    "RefusedError",
    "TlsError",
    "TransitionError",
    "UpstreamCutError",
]


class DaemonError(SkylarkdoorError):
    """Base of the daemon's errors."""


class TlsError(DaemonError):
    """A certificate, key or authority cannot be loaded."""


class TransitionError(DaemonError):
    """A request was moved to a phase that its present one does not allow."""


class DispatchError(DaemonError):
    """A dispatch did not bring a whole answer."""


class NotRunError(DispatchError):
    """The request was certainly not given to an upstream."""

    def __init__(
        self, code: str, message: str, *, retry_after_s: float | None = None
    ) -> None:
        self.code = code
        self.message = message
        self.retry_after_s = retry_after_s
        super().__init__(f"{code}: {message}")


class RefusedError(NotRunError):
    """The request was given up on; nothing else will be tried."""


class OutcomeUnknownError(DispatchError):
    """The request was given to an upstream and its outcome cannot be learned."""


class UpstreamCutError(DispatchError):
    """The upstream ended its answer before it was whole."""
