"""Detection of requests whose answers are much longer than is typical of their tier.

Answer lengths vary by more than a factor of 100. When slots are scarce, one long answer
makes several callers of the same tier exceed their time limits.
"""

import math

from skylarkdoord._moving_mean import MovingMean
from skylarkdoord.direct._model import Admitted

# A request is long if its answer exceeds the average of its tier by this factor.
LONG_RATIO = 2.0


class AnswerLengths:
    """Tracks the answer lengths that callers expect.

    Attributes:
        mean_log_tokens: Mean of the logarithm of the expected tokens, by service and
            tier.
    """

    def __init__(self) -> None:
        self.mean_log_tokens: dict[tuple[str, int], MovingMean] = {}

    def is_long(self, admitted: Admitted) -> bool:
        """Return whether a request is long, and add it to the average of its tier.

        Requests without an expected length are not long.
        """
        tokens = admitted.request.expected_tokens
        if tokens <= 0:
            return False
        log_tokens = math.log(tokens)
        mean = self.mean_of(admitted)
        is_first = not mean.count
        is_long = log_tokens > mean.value + math.log(LONG_RATIO)
        mean.add(log_tokens)
        return is_long and not is_first

    def mean_of(self, admitted: Admitted) -> MovingMean:
        """Return the mean of a request's tier."""
        key = (admitted.service, admitted.rank)
        mean = self.mean_log_tokens.get(key)
        if mean is None:
            mean = self.mean_log_tokens[key] = MovingMean()
        return mean
