"""Detection of requests whose answers are much longer than is typical of their tier.

Answer lengths vary by more than a factor of 100. When slots are scarce, one long answer
makes several callers of the same tier exceed their time limits. Long requests are
therefore queued last in their tier, but only while they are served nearly as often as
other requests.
"""

import math
from dataclasses import dataclass

from skylarkdoord.direct._model import Admitted

# Weight of the newest request in the moving average of answer lengths.
LENGTH_EWMA_WEIGHT = 0.02
# A request is long if its answer exceeds the average of its tier by this factor.
LONG_RATIO = 2.0
# Weight of the newest outcome in the moving averages of `ServedShares`.
OUTCOME_EWMA_WEIGHT = 0.05
# Long requests are queued last while their served share is at least this fraction of
# that of other requests.
MIN_SERVED_RATIO = 0.8


@dataclass
class ServedShares:
    """Moving averages of the share of a route's requests that got a slot, from 0 to 1.

    Attributes:
        long: Share of the long requests.
        others: Share of the other requests.
    """

    long: float = 1.0
    others: float = 1.0


class AnswerLengths:
    """Tracks the answer lengths that callers expect, and the outcomes of requests.

    Attributes:
        mean_log_tokens: Moving average of the logarithm of the expected tokens, by
            service and tier.
        served_shares: Shares of requests that got a slot, by route.
    """

    def __init__(self) -> None:
        self.mean_log_tokens: dict[tuple[str, int], float] = {}
        self.served_shares: dict[str, ServedShares] = {}

    def is_queued_last(self, admitted: Admitted, *, is_long: bool) -> bool:
        """Return whether a request is queued after the others of its tier."""
        shares = self.served_shares.get(admitted.route.name)
        if not is_long or shares is None:
            return is_long
        return shares.long >= MIN_SERVED_RATIO * shares.others

    def record_outcome(
        self, admitted: Admitted, *, is_long: bool, is_served: bool
    ) -> None:
        """Record whether a request got a slot."""
        shares = self.served_shares.setdefault(admitted.route.name, ServedShares())
        if is_long:
            shares.long += OUTCOME_EWMA_WEIGHT * (is_served - shares.long)
        else:
            shares.others += OUTCOME_EWMA_WEIGHT * (is_served - shares.others)

    def is_long(self, admitted: Admitted) -> bool:
        """Return whether a request is long, and add it to the average of its tier.

        Requests without an expected length are not long.
        """
        tokens = admitted.request.expected_tokens
        if tokens <= 0:
            return False
        key = (admitted.service, admitted.rank)
        log_tokens = math.log(tokens)
        mean = self.mean_log_tokens.get(key, log_tokens)
        self.mean_log_tokens[key] = mean + LENGTH_EWMA_WEIGHT * (log_tokens - mean)
        return log_tokens > mean + math.log(LONG_RATIO)
