"""An event loop with a time of its own, for tests of queue timeouts."""

import asyncio
import selectors

START_S = 1000.0


class _SkippingSelector(selectors.DefaultSelector):
    """A selector that moves its time on instead of waiting.

    Attributes:
        now_s: Time that has passed, in seconds.
    """

    def __init__(self):
        super().__init__()
        self.now_s = START_S

    def select(self, timeout=None):
        """Return ready events; without any, move the time on."""
        if timeout is None:
            return super().select()
        ready = super().select(0)
        if not ready:
            self.now_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time stands still unless all of its tasks wait.

    What runs in it takes no time, so a busy machine makes no timeout pass early.
    """

    def __init__(self):
        self.skipping = _SkippingSelector()
        super().__init__(self.skipping)

    def time(self):
        """Return the time in seconds."""
        return self.skipping.now_s
