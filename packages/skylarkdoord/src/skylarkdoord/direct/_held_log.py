"""Shows operators which customers get fewer slots than they ask for."""

import time

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._metrics import HELD_CUSTOMERS
from skylarkdoord.direct.shares import HeldCustomers

# Maximum number of customers that are logged at the end of an interval, those with the
# most refused requests first.
MAX_LOGGED = 10


class HeldLog:
    """Logs the customers of one service and tier that are held below what they ask.

    Args:
        service: The service.
        tier: The tier.
    """

    def __init__(self, service: str, tier: int) -> None:
        self.service = service
        self.tier = tier
        self.log = events.get_logger("direct.shares")

    def on_interval(self, held: HeldCustomers, former: HeldCustomers) -> None:
        """Log the customers of an interval, and those that are no longer held."""
        HELD_CUSTOMERS.labels(self.service, str(self.tier)).set(len(held))
        now = time.monotonic()
        most_refused = sorted(held.values(), key=lambda held: -held.refused)
        for customer in most_refused[:MAX_LOGGED]:
            self.log.event(
                _events.CUSTOMER_HELD,
                service=self.service,
                rank=self.tier,
                customer=customer.customer,
                asked=customer.asked,
                refused=customer.refused,
                slot_share=round(customer.share, 3),
                held_s=round(now - customer.since, 1),
                held_customers=len(held),
            )
        released = [name for name in former if name not in held]
        for name in released[:MAX_LOGGED]:
            self.log.event(
                _events.CUSTOMER_RELEASED,
                service=self.service,
                rank=self.tier,
                customer=name,
            )
