"""How a sidecar asks the owner of a claim what became of it."""

from typing import Protocol

import aiohttp

from skylarkdoord.common import TlsService
from skylarkdoord.exceptions import ClaimRowError
from skylarkdoord.sidecar._claim_rows import ClaimRow, decode

GRACE_S = 1.0
WAIT_QUERY = "wait_s"
INCARNATION_QUERY = "incarnation"
OK_STATUS = 200


class Owners(Protocol):
    """The sidecars that wrote claims."""

    async def ask(self, claim: ClaimRow, *, wait_s: float) -> ClaimRow | None:
        """Ask for the ending of a claim, waiting for it if it still runs.

        Args:
            claim: The claim.
            wait_s: Longest time to wait for the ending, in seconds.

        Returns:
            The ending, the claim itself if it still runs, or None if its owner
            does not answer or does not know it.
        """


class HttpOwners:
    """Asks owners at their internal addresses.

    Args:
        tls: How connections between instances are secured.
    """

    def __init__(self, tls: TlsService) -> None:
        self.tls = tls
        self.session = aiohttp.ClientSession()

    async def ask(self, claim: ClaimRow, *, wait_s: float) -> ClaimRow | None:
        """Ask for the ending of a claim; see `Owners`."""
        url = f"{self.tls.url(claim.address)}/internal/claims/{claim.operation}"
        query = {WAIT_QUERY: str(wait_s), INCARNATION_QUERY: str(claim.incarnation)}
        tls = self.tls.arguments(claim.instance)
        timeout = aiohttp.ClientTimeout(total=wait_s + GRACE_S)
        try:
            async with self.session.post(
                url, params=query, timeout=timeout, **tls
            ) as answer:
                if answer.status != OK_STATUS:
                    return None
                return decode(await answer.read())
        except (aiohttp.ClientError, TimeoutError, ClaimRowError):
            return None

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()
