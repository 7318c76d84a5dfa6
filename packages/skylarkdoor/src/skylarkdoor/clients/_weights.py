"""Client of the rate-limited store of model weights."""

from urllib.parse import quote

from skylarkdoor.clients._client import Client
from skylarkdoor.clients._http import HttpResponse, NoResponseError, request
from skylarkdoor.clients.exceptions import (
    WeightsAbsent,
    WeightsLimited,
    WeightsUnavailable,
)

WEIGHTS_TIMEOUT_S = 60.0
MAX_WEIGHTS_BYTES = 1024 * 1024 * 1024
_DEFAULT_RETRY_AFTER_S = 1.0


class WeightStore(Client):
    """Fetches weights by name.

    Args:
        session: HTTP session for all requests.
        endpoints: Base URLs, tried in turn.
        timeout_s: Timeout of one fetch from one endpoint, in seconds.
    """

    default_timeout_s = WEIGHTS_TIMEOUT_S

    async def fetch(self, name: str) -> bytes:
        """Return the weights with the given name.

        Raises:
            WeightsAbsent: The store has no weights of this name.
            WeightsLimited: The store's rate limit is exceeded.
            WeightsUnavailable: The store did not respond or returned an error.
        """
        try:
            response = await request(
                self.session,
                self.endpoints,
                "GET",
                f"/weights/{quote(name)}",
                timeout=self.timeout,
                max_bytes=MAX_WEIGHTS_BYTES,
            )
        except NoResponseError as error:
            raise WeightsUnavailable(str(error)) from error
        if response.status == 404:
            raise WeightsAbsent(name)
        if response.status == 429:
            raise WeightsLimited(_retry_after(response))
        if response.status != 200:
            raise WeightsUnavailable(f"status {response.status}")
        return response.body


def _retry_after(response: HttpResponse) -> float:
    try:
        return float(response.headers.get("Retry-After", _DEFAULT_RETRY_AFTER_S))
    except ValueError:
        return _DEFAULT_RETRY_AFTER_S
