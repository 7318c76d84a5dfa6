"""The rate-limited store of model weights."""

from urllib.parse import quote

from skylarkdoor.clients._client import Client
from skylarkdoor.clients._http import HttpAnswer, NoAnswerError, request
from skylarkdoor.clients.exceptions import (
    WeightsAbsent,
    WeightsLimited,
    WeightsUnavailable,
)

WEIGHTS_TIMEOUT_S = 60.0
_DEFAULT_RETRY_S = 1.0


class WeightStore(Client):
    """Weights by name.

    Args:
        session: The session for all requests.
        endpoints: Base URLs, tried in turn.
        timeout_s: The time for one fetch.
    """

    default_timeout_s = WEIGHTS_TIMEOUT_S

    async def fetch(self, name: str) -> bytes:
        """Return the weights of a name.

        Raises:
            WeightsAbsent: There are none of this name.
            WeightsLimited: The store is over its rate.
            WeightsUnavailable: The store did not answer.
        """
        try:
            answer = await request(
                self.session,
                self.endpoints,
                "GET",
                f"/weights/{quote(name)}",
                timeout=self.timeout,
            )
        except NoAnswerError as error:
            raise WeightsUnavailable(str(error)) from error
        if answer.status == 404:
            raise WeightsAbsent(name)
        if answer.status == 429:
            raise WeightsLimited(_retry_after(answer))
        if answer.status != 200:
            raise WeightsUnavailable(f"status {answer.status}")
        return answer.body


def _retry_after(answer: HttpAnswer) -> float:
    try:
        return float(answer.headers.get("Retry-After", _DEFAULT_RETRY_S))
    except ValueError:
        return _DEFAULT_RETRY_S
