"""Grants that no entry has used yet."""

import asyncio
import time

from skylarkdoord.sidecar._fairness import WaitingOffer


class Pending:
    """A grant for which no body has come yet.

    Args:
        waiting: The offer as it waited.
        expiry: Takes the grant back.
    """

    def __init__(self, waiting: WaitingOffer, expiry: asyncio.TimerHandle) -> None:
        self.waiting = waiting
        self.expiry = expiry
        self.granted_at = time.monotonic()
