"""Detection of requests whose answers are much longer than is typical of their tier.

Answer lengths vary by more than a factor of 100. When slots are scarce, one long answer
makes several callers of the same tier exceed their time limits.
"""

import math
from typing import NamedTuple

from skylarkdoord.direct._model import Admitted

# Smallest weight of the newest request in the moving average of answer lengths.
MIN_EWMA_WEIGHT = 0.02
# A request is long if its answer exceeds the average of its tier by this factor.
LONG_RATIO = 2.0


class TierLengths(NamedTuple):
    """Answer lengths of a tier's requests so far.

    Attributes:
        mean_log_tokens: Moving average of the logarithm of the expected tokens.
        seen: Number of requests.
    """

    mean_log_tokens: float = 0.0
    seen: int = 0

    def add(self, log_tokens: float) -> "TierLengths":
        """Return the lengths with one request more."""
        weight = max(1.0 / (self.seen + 1), MIN_EWMA_WEIGHT)
        change = weight * (log_tokens - self.mean_log_tokens)
        return TierLengths(self.mean_log_tokens + change, self.seen + 1)


class AnswerLengths:
    """Tracks the answer lengths that callers expect.

    Attributes:
        tiers: Answer lengths by service and tier.
    """

    def __init__(self) -> None:
        self.tiers: dict[tuple[str, int], TierLengths] = {}

    def is_long(self, admitted: Admitted) -> bool:
        """Return whether a request is long, and add it to the average of its tier.

        Requests without an expected length are not long.
        """
        tokens = admitted.request.expected_tokens
        if tokens <= 0:
            return False
        key = (admitted.service, admitted.rank)
        log_tokens = math.log(tokens)
        lengths = self.tiers.get(key, TierLengths())
        self.tiers[key] = lengths.add(log_tokens)
        if not lengths.seen:
            return False
        return log_tokens > lengths.mean_log_tokens + math.log(LONG_RATIO)
