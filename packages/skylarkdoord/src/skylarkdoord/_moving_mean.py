"""A mean that follows its values without being set by the first of them."""

# Smallest weight of the newest value.
MIN_WEIGHT = 0.02


class MovingMean:
    """The plain mean of the first values, then their exponential moving average.

    Attributes:
        value: The mean; 0 before the first value.
        count: Number of values.
    """

    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def add(self, value: float) -> None:
        """Include a value."""
        self.count += 1
        weight = max(1.0 / self.count, MIN_WEIGHT)
        self.value += weight * (value - self.value)
