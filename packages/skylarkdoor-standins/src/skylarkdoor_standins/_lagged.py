"""Values that become visible to readers a fixed time after they are set."""

import time
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Lagged(Generic[T]):
    """A value that is read as it was a fixed time ago.

    Args:
        initial: The value that is read until the first `set` becomes visible.
        lag_s: The age of the value read, in seconds.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self, initial: T, *, lag_s: float, clock: Callable[[], float] = time.monotonic
    ):
        self.lag_s = lag_s
        self._clock = clock
        self._visible = initial
        self._pending: deque[tuple[float, T]] = deque()

    def set(self, value: T) -> None:
        """Set the value; it becomes visible once the lag has passed."""
        self._advance()
        self._pending.append((self._clock() + self.lag_s, value))

    def get(self) -> T:
        """Return the value as it was `lag_s` seconds ago."""
        self._advance()
        return self._visible

    def _advance(self) -> None:
        now = self._clock()
        while self._pending and self._pending[0][0] <= now:
            _, self._visible = self._pending.popleft()
