"""The rate-limited store of model weights."""

import math
import time
from collections.abc import Callable

from aiohttp import web

from skylarkdoor_standins.platform._faults import FaultGate

_WEIGHTS_LENGTH = 4096


class RateLimit:
    """A token bucket.

    Args:
        rate: Requests a second let through.
        burst: Requests let through at once after a rest.
        clock: Source of monotonic seconds.
    """

    def __init__(
        self, *, rate: float, burst: int, clock: Callable[[], float] = time.monotonic
    ):
        self.rate = rate
        self.burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._filled_at = clock()

    def wait_s(self) -> float:
        """Take a token and return 0, or return the seconds until there is one."""
        now = self._clock()
        gained = (now - self._filled_at) * self.rate
        self._tokens = min(self.burst, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return (1 - self._tokens) / self.rate
        self._tokens -= 1
        return 0.0


class WeightService:
    """Hands out weights, refusing what comes over its rate."""

    def __init__(self, gate: FaultGate, limit: RateLimit):
        self.gate = gate
        self.limit = limit

    def routes(self) -> list[web.RouteDef]:
        """Return the store's route."""
        return [web.get("/weights/{name:.+}", self._get)]

    async def _get(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        return await self.gate.answer(
            request, lambda: self._hand_out(name), is_write=False
        )

    def _hand_out(self, name: str) -> web.Response:
        wait_s = self.limit.wait_s()
        if wait_s > 0:
            headers = {"Retry-After": str(math.ceil(wait_s))}
            return web.Response(status=429, headers=headers)
        pattern = f"{name}\n".encode()
        data = pattern * (_WEIGHTS_LENGTH // len(pattern) + 1)
        return web.Response(body=data[:_WEIGHTS_LENGTH])
