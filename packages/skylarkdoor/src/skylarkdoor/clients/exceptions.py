"""Errors of the platform's clients."""

# Names without an "Error" suffix follow Django's ObjectDoesNotExist.
# ruff: noqa: N818


class PlatformError(Exception):
    """A request to a service of the platform failed."""


class TableUnavailable(PlatformError):
    """A read failed, or a write failed and was certainly not applied."""


class TableTimeout(PlatformError):
    """The outcome of a write is unknown: it may have been applied."""


class TableRejected(PlatformError):
    """The table rejected a request as invalid and applied nothing."""


class ObjectsUnavailable(PlatformError):
    """The object store did not respond or returned an error."""


class ObjectAbsent(PlatformError):
    """The object store has no object with this key."""


class ObjectChanged(PlatformError):
    """The object has changed since it was read; nothing was written."""


class ListUnavailable(PlatformError):
    """The instance list did not respond, or its response is malformed."""


class WeightsUnavailable(PlatformError):
    """The weight store did not respond or returned an error."""


class WeightsAbsent(PlatformError):
    """The weight store has no weights of this name."""


class WeightsLimited(PlatformError):
    """The weight store rejected a fetch because its rate limit is exceeded.

    Args:
        retry_after: Delay before a retry may succeed, in seconds.
    """

    def __init__(self, retry_after: float):
        super().__init__(
            f"weight store's rate limit exceeded, retry after {retry_after} s"
        )
        self.retry_after = retry_after
