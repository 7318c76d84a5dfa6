"""Which requests will likely hold a place much longer than others of their tier.

Lengths of answers differ over a hundredfold. Where places are short, one long
answer keeps several callers of the same tier waiting beyond what they accept.
"""

import math

from skylarkdoord.direct._model import Admitted

# Weight of the newest request in the usual length.
NEWEST = 0.02
# A request is long from so many times the usual length of its tier.
LONG = 2.0


class Lengths:
    """Learns the usual length of each tier's answers from what callers expect.

    Attributes:
        usual: Mean logarithm of the expected tokens, by service and tier.
    """

    def __init__(self) -> None:
        self.usual: dict[tuple[str, int], float] = {}

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
