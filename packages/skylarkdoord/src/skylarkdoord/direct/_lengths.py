"""Which requests will likely hold a place much longer than others of their tier.

Lengths of answers differ over a hundredfold. Where places are short, one long
answer keeps several callers of the same tier waiting beyond what they accept. Long
ones therefore go last, but only while they are served nearly as often as the others.
"""

import math
from dataclasses import dataclass

from skylarkdoord.direct._model import Admitted

# Weight of the newest request in the usual length.
NEWEST = 0.02
# A request is long from so many times the usual length of its tier.
LONG = 2.0
# Weight of the newest outcome in the share of requests that are served.
NEWEST_OUTCOME = 0.05
# Long requests go last while they are served this often in proportion to others.
LEAST_SERVED = 0.8


@dataclass
class Served:
    """Shares of a route's requests that found a place, from 0 to 1.

    Attributes:
        long: Of the long ones.
        others: Of the others.
    """

    long: float = 1.0
    others: float = 1.0


class Lengths:
    """Learns the usual length of each tier's answers from what callers expect.

    Attributes:
        usual: Mean logarithm of the expected tokens, by service and tier.
        served: How often requests are served, by route.
    """

    def __init__(self) -> None:
        self.usual: dict[tuple[str, int], float] = {}
        self.served: dict[str, Served] = {}

    def goes_last(self, admitted: Admitted, *, is_long: bool) -> bool:
        """Return whether a request goes after the others of its tier."""
        served = self.served.get(admitted.route.name)
        if not is_long or served is None:
            return is_long
        return served.long >= LEAST_SERVED * served.others

    def note(self, admitted: Admitted, *, is_long: bool, is_served: bool) -> None:
        """Learn whether a request found a place."""
        served = self.served.setdefault(admitted.route.name, Served())
        if is_long:
            served.long += NEWEST_OUTCOME * (is_served - served.long)
        else:
            served.others += NEWEST_OUTCOME * (is_served - served.others)

    def is_long(self, admitted: Admitted) -> bool:
        """Return whether a request is long, and learn from it."""
        tokens = admitted.request.expected_tokens
        if tokens <= 0:
            return False
        key = (admitted.service, admitted.rank)
        length = math.log(tokens)
        usual = self.usual.get(key, length)
        self.usual[key] = usual + NEWEST * (length - usual)
        return length > usual + math.log(LONG)
