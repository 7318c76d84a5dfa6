"""Error answers that an entry creates itself."""

from typing import NamedTuple

from skylarkdoord.direct._forward import Forwarder

STOPPING = "the entry stops"


class Problem(NamedTuple):
    """An error answer that this entry creates itself.

    Attributes:
        status: HTTP status.
        code: Stable error code for programs.
        message: Error message for people.
        retry_after_s: Delay after which the caller may retry, in seconds; None sends
            no `Retry-After`.
    """

    status: int
    code: str
    message: str
    retry_after_s: float | None = None


def timeout_problem(forwarder: Forwarder, *, is_cut: bool) -> Problem:
    """Return the problem of a request that ran out of time without an answer.

    Args:
        forwarder: Forwarded the request.
        is_cut: Whether it was cut off because the entry stops.
    """
    if not is_cut:
        return Problem(504, "timeout", "the answer did not arrive before the deadline")
    if forwarder.may_have_run:
        return Problem(502, "outcome_unknown", STOPPING)
    return Problem(503, "draining", STOPPING, retry_after_s=0.0)
