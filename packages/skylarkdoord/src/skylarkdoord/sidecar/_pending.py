"""Grants that entries have not used yet."""

import asyncio
import time

from skylarkdoord.sidecar._fairness import WaitingOffer


class PendingGrant:
    """A grant whose request body has not arrived yet.

    Args:
        waiting: The granted offer.
        expiry: Timer that revokes the grant.
    """

    def __init__(self, waiting: WaitingOffer, expiry: asyncio.TimerHandle) -> None:
        self.waiting = waiting
        self.expiry = expiry
        self.granted_at = time.monotonic()
