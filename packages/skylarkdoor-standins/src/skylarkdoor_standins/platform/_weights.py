"""The store of model weights, with a rate limit."""

import math
import time
from collections.abc import Callable

from aiohttp import web

from skylarkdoor_standins.platform._faults import FaultInjector

_WEIGHTS_SIZE_BYTES = 4096


class TokenBucket:
    """A token bucket.

    Args:
        rate: The number of tokens added per second.
        burst: The capacity of the bucket in tokens; it starts full.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self, *, rate: float, burst: int, clock: Callable[[], float] = time.monotonic
    ):
        self.rate = rate
        self.burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._refilled_at = clock()

    def take_token(self) -> float:
        """Take a token if one is available.

        Returns:
            0 if a token was taken, otherwise the seconds until one is available.
        """
        now = self._clock()
        refilled_tokens = (now - self._refilled_at) * self.rate
        self._tokens = min(self.burst, self._tokens + refilled_tokens)
        self._refilled_at = now
        if self._tokens < 1:
            return (1 - self._tokens) / self.rate
        self._tokens -= 1
        return 0.0


class WeightService:
    """Serves weights; refuses fetches over the rate limit with 429."""

    def __init__(self, injector: FaultInjector, bucket: TokenBucket):
        self.injector = injector
        self.bucket = bucket

    def routes(self) -> list[web.RouteDef]:
        """Return the store's route."""
        return [web.get("/weights/{name:.+}", self._get)]

    async def _get(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        return await self.injector.handle(
            request, lambda: self._fetch(name), is_write=False
        )

    def _fetch(self, name: str) -> web.Response:
        wait_s = self.bucket.take_token()
        if wait_s > 0:
            headers = {"Retry-After": str(math.ceil(wait_s))}
            return web.Response(status=429, headers=headers)
        pattern = f"{name}\n".encode()
        data = pattern * (_WEIGHTS_SIZE_BYTES // len(pattern) + 1)
        return web.Response(body=data[:_WEIGHTS_SIZE_BYTES])
