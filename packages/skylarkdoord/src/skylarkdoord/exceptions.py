"""Errors of the daemon."""

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
    "TlsError",
    "TransitionError",
    "UpstreamCutError",
    "UpstreamLostError",
]


class DaemonError(SkylarkdoorError):
    """Base of the daemon's errors."""


class TlsError(DaemonError):
    """A certificate, key or authority cannot be loaded."""


class TransitionError(DaemonError):
    """A request was moved to a phase that its present one does not allow."""


class CallError(DaemonError):
    """A header between processes is absent or malformed."""


class ClaimRowError(DaemonError):
    """A row of the table is not a claim."""


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


class AnswerCrossedError(UpstreamCutError):
    """The upstream's answer is that to another request."""


class UpstreamLostError(DaemonError):
    """The connection to the upstream ended before its answer."""


class EntryGoneError(DaemonError):
    """The entry closed its connection before it had the whole answer."""


class SidecarSilentError(DaemonError):
    """The control stream is lost and the sidecar does not say that a request runs."""
