"""Exceptions of the daemon."""

from skylarkdoor.exceptions import SkylarkdoorError

__all__ = [
    "AnswerCrossedError",
    "CallError",
    "ClaimRowError",
    "DaemonError",
    "DispatchError",
    "EntryGoneError",
    "NotRunError",
    "OutcomeUnknownError",
    "RefusedError",
    "SidecarSilentError",
    "SuspectRowError",
    "TlsError",
    "TransitionError",
    "UpstreamCutError",
]


class DaemonError(SkylarkdoorError):
    """Base class of the daemon's exceptions."""


class TlsError(DaemonError):
    """A certificate, key or authority file cannot be loaded."""


class TransitionError(DaemonError):
    """The current phase of a request does not allow the requested transition."""


class CallError(DaemonError):
    """A required header of a request between processes is missing or malformed."""


class ClaimRowError(DaemonError):
    """A row of the table cannot be decoded as a claim."""


class SuspectRowError(DaemonError):
    """A row of the table cannot be decoded as a suspect."""


class DispatchError(DaemonError):
    """A dispatch ended without a complete answer."""


class NotRunError(DispatchError):
    """The request was certainly not sent to an upstream.

    Args:
        code: Error code for the caller.
        message: Description of the error.
        retry_after_s: Retry delay for the caller, in seconds, if any.
    """

    def __init__(
        self, code: str, message: str, *, retry_after_s: float | None = None
    ) -> None:
        self.code = code
        self.message = message
        self.retry_after_s = retry_after_s
        super().__init__(f"{code}: {message}")


class RefusedError(NotRunError):
    """The request was refused; no other upstream will be tried."""


class OutcomeUnknownError(DispatchError):
    """The request was sent to an upstream, but its outcome cannot be determined."""


class UpstreamCutError(DispatchError):
    """The upstream ended its answer before it was complete."""


class AnswerCrossedError(UpstreamCutError):
    """The upstream's answer belongs to another request."""


class EntryGoneError(DaemonError):
    """The entry closed its connection before it had received the complete answer."""


class SidecarSilentError(DaemonError):
    """The control stream is lost, and the sidecar reports no run of the request."""
