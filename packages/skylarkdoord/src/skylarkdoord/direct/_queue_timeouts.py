"""How long a request may wait for a slot."""

from collections.abc import Callable

from skylarkdoord.direct._model import Admitted

MIN_QUEUE_TIMEOUT_S = 0.05
# Queue timeout of a request that can't meet its latency target, as a share of the time
# until its deadline.
LATE_QUEUE_TIMEOUT_SHARE = 0.35
# Upper limit of that timeout. After it, a retry elsewhere or a refusal is better for
# the caller.
MAX_LATE_QUEUE_TIMEOUT_S = 2.5


class QueueTimeouts:
    """Queue timeouts of requests, by their latency targets and deadlines.

    Args:
        average_first_byte_s: Returns the average time to the first byte of a service,
            in seconds.
    """

    def __init__(self, average_first_byte_s: Callable[[str], float]) -> None:
        self.average_first_byte_s = average_first_byte_s

    def slack_s(self, admitted: Admitted, now: float) -> float:
        """Return how long a request can wait within its latency target, in seconds."""
        first_byte_s = self.average_first_byte_s(admitted.service)
        return admitted.first_byte_due - first_byte_s - now

    def is_late(self, admitted: Admitted, now: float) -> bool:
        """Return whether a request would miss its latency target even if sent now."""
        return self.slack_s(admitted, now) <= 0.0

    def timeout_s(self, admitted: Admitted, now: float) -> float:
        """Return how long a request may wait for a slot, in seconds.

        A request that can meet its latency target waits until it no longer can.
        """
        if self.is_late(admitted, now):
            return self.late_timeout_s(admitted, now)
        timeout_s = max(MIN_QUEUE_TIMEOUT_S, self.slack_s(admitted, now))
        return min(admitted.deadline - now, timeout_s)

    def late_timeout_s(self, admitted: Admitted, now: float) -> float:
        """Return how long a request that misses its target may wait, in seconds."""
        remaining_s = admitted.deadline - now
        timeout_s = min(
            MAX_LATE_QUEUE_TIMEOUT_S, LATE_QUEUE_TIMEOUT_SHARE * remaining_s
        )
        return min(remaining_s, max(MIN_QUEUE_TIMEOUT_S, timeout_s))
