"""Which customers have had their share of the slots that an entry's requests got.

Answers the load in which some customers ask for more than the slots that there are: the
requests of a customer that has not had its share wait for their turn, and are not
refused because those of others timed out.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

# The use of slots counts for one to two of these intervals.
INTERVAL_S = 5.0
# Maximum number of customers counted in an interval. Further ones count as customers
# that have not had their share.
MAX_CUSTOMERS = 4096
# Estimate of a slot time until one is known, in seconds.
INITIAL_SLOT_S = 0.5
# Weight of the newest slot time in the moving average.
SLOT_EWMA_WEIGHT = 0.05


@dataclass
class CustomerUse:
    """A customer's requests within an interval.

    Attributes:
        weight: Weight of the customer.
        asked: Number of requests that began to wait.
        refused: Number of requests that stopped waiting without a slot.
        granted: Number of requests that got a slot.
        slots_s: Slot time that was used, in seconds.
    """

    weight: float
    asked: int = 0
    refused: int = 0
    granted: int = 0
    slots_s: float = 0.0


@dataclass
class UseInterval:
    """The use of all customers within an interval.

    Attributes:
        since: Monotonic time of its start, in seconds.
        customers: Use by customer.
        weight: Sum of the weights of these customers.
        slots_s: Slot time that they used, in seconds.
    """

    since: float
    customers: dict[str, CustomerUse] = field(default_factory=dict)
    weight: float = 0.0
    slots_s: float = 0.0


class SlotUse(NamedTuple):
    """A slot that a request holds.

    Attributes:
        customer: The customer.
        weight: The customer's weight.
        estimate_s: Slot time that was counted at the grant, in seconds.
        since: Monotonic time of the grant, in seconds.
    """

    customer: str
    weight: float
    estimate_s: float
    since: float


class HeldCustomer(NamedTuple):
    """A customer that got less than it asked for.

    Attributes:
        customer: The customer.
        asked: Number of its requests in the last full interval.
        refused: Number of these that got no slot.
        share: The customer's part of all slot time, from 0 to 1.
        since: Monotonic time since which each interval had some refused, in seconds.
    """

    customer: str
    asked: int
    refused: int
    share: float
    since: float


HeldCustomers = dict[str, HeldCustomer]


class CustomerShares:
    """Counts the slot time of the customers of one service and tier at this entry.

    Args:
        clock: Returns monotonic time in seconds.
        on_held: Called at the end of each interval with the customers that got less
            than they asked for, and with those of the interval before.

    Attributes:
        current: The present interval.
        former: The one before it.
        slots: Slots in use, by number of the request.
        slot_average_s: Moving average of slot times, in seconds.
        held: Customers that got less than they asked for in the last full interval.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        on_held: Callable[[HeldCustomers, HeldCustomers], None] = lambda *_: None,
    ) -> None:
        self.clock = clock
        self.on_held = on_held
        self.current = UseInterval(clock())
        self.former = UseInterval(clock())
        self.slots: dict[int, SlotUse] = {}
        self.slot_average_s = INITIAL_SLOT_S
        self.held: HeldCustomers = {}

    def on_wait(self, customer: str, weight: float) -> None:
        """Count a request that begins to wait."""
        use = self.use(customer, weight)
        if use is not None:
            use.asked += 1

    def on_refused(self, customer: str, weight: float) -> None:
        """Count a request that stops waiting without a slot."""
        use = self.use(customer, weight)
        if use is not None:
            use.refused += 1

    def on_granted(self, number: int, customer: str, weight: float) -> None:
        """Count the estimated slot time of a request that is granted a slot."""
        use = self.use(customer, weight)
        if use is not None:
            use.granted += 1
        estimate_s = self.slot_average_s
        self.slots[number] = SlotUse(customer, weight, estimate_s, self.clock())
        self.add_slot_time(customer, weight, estimate_s)

    def on_released(self, number: int) -> None:
        """Correct the slot time of a request that returns its slot."""
        slot = self.slots.pop(number, None)
        if slot is None:
            return
        used_s = self.clock() - slot.since
        if used_s <= 0.0:
            # The clock stands still; the estimate is the best measure.
            return
        self.slot_average_s += SLOT_EWMA_WEIGHT * (used_s - self.slot_average_s)
        self.add_slot_time(slot.customer, slot.weight, used_s - slot.estimate_s)

    def has_had_share(self, customer: str) -> bool:
        """Return whether a customer used its part of the slot time, by its weight."""
        self.start_interval()
        intervals = (self.current, self.former)
        uses = [
            interval.customers[customer]
            for interval in intervals
            if customer in interval.customers
        ]
        slots_s = sum(interval.slots_s for interval in intervals)
        weight = sum(interval.weight for interval in intervals)
        if slots_s <= 0.0 or weight <= 0.0:
            return False
        own_s = sum(use.slots_s for use in uses)
        own_weight = sum(use.weight for use in uses)
        return own_s > 0.0 and own_s / own_weight >= slots_s / weight

    def granted_per_s(self, customer: str) -> float:
        """Return how many of a customer's requests got slots, per second."""
        self.start_interval()
        granted = sum(
            interval.customers[customer].granted
            for interval in (self.current, self.former)
            if customer in interval.customers
        )
        elapsed_s = self.clock() - self.former.since
        return granted / max(INTERVAL_S / 2, elapsed_s)

    def add_slot_time(self, customer: str, weight: float, slot_s: float) -> None:
        """Add slot time, or subtract it, for a customer."""
        use = self.use(customer, weight)
        if use is not None:
            use.slots_s += slot_s
            self.current.slots_s += slot_s

    def use(self, customer: str, weight: float) -> CustomerUse | None:
        """Return the customer's use; None if too many customers are counted."""
        self.start_interval()
        use = self.current.customers.get(customer)
        if use is None:
            if len(self.current.customers) >= MAX_CUSTOMERS:
                return None
            use = self.current.customers[customer] = CustomerUse(weight)
            self.current.weight += weight
        return use

    def start_interval(self) -> None:
        """Start a new interval if the present one has ended."""
        now = self.clock()
        if now - self.current.since < INTERVAL_S:
            return
        is_next = now - self.current.since < 2 * INTERVAL_S
        former = self.held
        self.held = self.held_customers() if is_next else {}
        self.on_held(self.held, former)
        self.former = self.current if is_next else UseInterval(now)
        self.current = UseInterval(now)

    def held_customers(self) -> HeldCustomers:
        """Return the customers that got less than they asked for in the interval."""
        interval = self.current
        held = {}
        for name, use in interval.customers.items():
            if use.refused:
                share = use.slots_s / interval.slots_s if interval.slots_s > 0 else 0.0
                before = self.held.get(name)
                since = before.since if before else interval.since
                held[name] = HeldCustomer(name, use.asked, use.refused, share, since)
        return held
