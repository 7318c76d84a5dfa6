"""Values that are seen some time after they were set."""

import time
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Lagged(Generic[T]):
    """A value that readers see as it was a fixed time ago.

    Args:
        initial: The value before the first `set`.
        lag_s: How old the value read is.
        clock: Source of monotonic seconds.
    """

    def __init__(
        self, initial: T, *, lag_s: float, clock: Callable[[], float] = time.monotonic
    ):
        self.lag_s = lag_s
        self._clock = clock
        self._visible = initial
        self._pending: deque[tuple[float, T]] = deque()

    def set(self, value: T) -> None:
        """Set the value, to be seen after the lag."""
        self._advance()
        self._pending.append((self._clock() + self.lag_s, value))

    def get(self) -> T:
        """Return the value as it was a lag ago."""
        self._advance()
        return self._visible

    def _advance(self) -> None:
        now = self._clock()
        while self._pending and self._pending[0][0] <= now:
            _, self._visible = self._pending.popleft()
