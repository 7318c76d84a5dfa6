"""Short descriptions of failed calls, for error messages and logs."""

import os

__all__ = ["DescribedError", "reason"]


class DescribedError(Exception):
    """An error whose text contains nothing that was received."""


def reason(error: BaseException) -> str:
    """Return why a call failed, without anything that was received in it.

    The text of a client's error may contain what the other side sent, at any length.
    """
    name = type(error).__name__
    if isinstance(error, DescribedError):
        return f"{name}: {error}"
    number = error.errno if isinstance(error, OSError) else None
    return f"{name}: {os.strerror(number)}" if number else name
