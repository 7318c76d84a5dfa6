"""Errors of the platform's clients."""

# Names without an "Error" suffix follow Django's ObjectDoesNotExist.
# ruff: noqa: N818


class PlatformError(Exception):
    """A service of the platform did not do what it was asked."""


class TableUnavailable(PlatformError):
    """The table did not answer a read, or certainly did not apply a write."""


class TableTimeout(PlatformError):
    """The table gave no answer to a write, which may have been applied."""


class TableRejected(PlatformError):
    """The table refused a request as invalid and applied nothing."""


class ObjectsUnavailable(PlatformError):
    """The object store did not answer."""


class ObjectAbsent(PlatformError):
    """The object store has no object of this key."""


class ObjectChanged(PlatformError):
    """The object is not as it was read; nothing was written."""


class ListUnavailable(PlatformError):
    """The instance list did not answer, or not in its form."""


class WeightsUnavailable(PlatformError):
    """The weight store did not answer."""


class WeightsAbsent(PlatformError):
    """The weight store has no weights of this name."""


class WeightsLimited(PlatformError):
    """The weight store refused a fetch over its rate.

    Args:
        retry_after: Seconds until a fetch may be let through.
    """

    def __init__(self, retry_after: float):
        super().__init__(f"over the weight store's rate, retry after {retry_after} s")
        self.retry_after = retry_after
