"""Queries the owner of a claim for the outcome."""

from typing import Protocol

import aiohttp

from skylarkdoor import bounded_http
from skylarkdoord.common import TlsService
from skylarkdoord.exceptions import ClaimRowError
from skylarkdoord.sidecar._claim_rows import ClaimRow, decode

# Time allowed for the response in addition to the requested wait.
RESPONSE_GRACE_S = 1.0
# A claim holds an answer of up to 8 MiB in base64.
MAX_CLAIM_BYTES = 12 * 1024 * 1024
WAIT_QUERY = "wait_s"
INCARNATION_QUERY = "incarnation"
OK_STATUS = 200


class Owners(Protocol):
    """Access to the sidecars that own claims."""

    async def find_outcome(self, claim: ClaimRow, *, wait_s: float) -> ClaimRow | None:
        """Query the outcome of a claim, waiting for it if the request still runs.

        Args:
            claim: The claim.
            wait_s: Maximum time to wait for the outcome, in seconds.

        Returns:
            The row with the outcome, the claim itself if the request still runs, or
            None if the owner does not respond or has no such operation.
        """


class HttpOwners:
    """Queries owners over HTTP at their internal addresses.

    Args:
        tls: TLS configuration of connections between instances.
    """

    def __init__(self, tls: TlsService) -> None:
        self.tls = tls
        self.session = bounded_http.open_session()

    async def find_outcome(self, claim: ClaimRow, *, wait_s: float) -> ClaimRow | None:
        """Query the outcome of a claim; see `Owners`."""
        url = f"{self.tls.url(claim.address)}/internal/claims/{claim.operation}"
        query = {WAIT_QUERY: str(wait_s), INCARNATION_QUERY: str(claim.incarnation)}
        tls = self.tls.request_arguments(claim.instance)
        timeout = aiohttp.ClientTimeout(total=wait_s + RESPONSE_GRACE_S)
        try:
            async with self.session.post(
                url, params=query, timeout=timeout, **tls
            ) as answer:
                if answer.status != OK_STATUS:
                    return None
                return decode(await bounded_http.read_body(answer, MAX_CLAIM_BYTES))
        except (aiohttp.ClientError, TimeoutError, ClaimRowError):
            return None

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()
