"""The engine's memory for tokens, as a guard reserves it.

Answers the load in which requests with long prompts or answers come together: an engine
whose requests exceed its memory crashes, although it has free slots.
"""

# Weight of the newest offer in the moving average of the tokens of requests.
TOKENS_EWMA_WEIGHT = 0.05


class TokenMemory:
    """Counts the tokens, prompt and longest answer, of the requests that hold slots.

    Attributes:
        size: Tokens that the engine holds; 0 if unknown, for no limit.
        reserved: Tokens of the requests that hold slots.
        average: Moving average of the tokens that offers state; 0 before the first. It
            stands in for requests whose tokens are unknown.
    """

    def __init__(self) -> None:
        self.size = 0
        self.reserved = 0.0
        self.average = 0.0

    def on_offer(self, tokens: int) -> None:
        """Include an offer in the average; offers that state no tokens are left out."""
        if tokens > 0:
            change = tokens - self.average
            self.average += change * (TOKENS_EWMA_WEIGHT if self.average else 1.0)

    def needed(self, tokens: int) -> float:
        """Return how many tokens to reserve for a request that states this number."""
        return tokens or self.average

    def is_exceeded(self, tokens: int) -> bool:
        """Return whether a request exceeds the engine's memory by itself."""
        return 0 < self.size < tokens

    def has_room(self, tokens: int, *, ungranted: int) -> bool:
        """Return whether a request fits beside those that hold slots.

        Args:
            tokens: Tokens that the request states; 0 if none.
            ungranted: Number of requests in the engine that hold no slot, such as those
                granted before the guard was restarted.
        """
        if self.size <= 0:
            return True
        held = self.reserved + ungranted * self.average
        return held + self.needed(tokens) <= self.size
