"""Decisions on who gets a slot next, without a network.

`SlotQueue` is the queue of a guard. `CustomerShares` and `TierShares` bound what
customers and tiers get while requests wait. `LeavePolicy` weighs other data centres.
"""

from skylarkdoord.direct.shares._answer_speed import fast_enough
from skylarkdoord.direct.shares._customer_shares import CustomerShares, HeldCustomers
from skylarkdoord.direct.shares._data_centres import LeaveCosts, LeavePolicy
from skylarkdoord.direct.shares._fair_order import FairOrder, is_weight
from skylarkdoord.direct.shares._guard_queue import QueueCounts, SlotQueue
from skylarkdoord.direct.shares._length_order import LengthOrder
from skylarkdoord.direct.shares._queue_order import NO_DEMAND, Demand, QueueOrder
from skylarkdoord.direct.shares._tier_shares import TIER_WINDOW_S, TierShares
from skylarkdoord.direct.shares._token_memory import TokenMemory
from skylarkdoord.direct.shares._weights import CustomerWeights

__all__ = [
    "NO_DEMAND",
    "TIER_WINDOW_S",
    "CustomerShares",
    "CustomerWeights",
    "Demand",
    "FairOrder",
    "HeldCustomers",
    "LeaveCosts",
    "LeavePolicy",
    "LengthOrder",
    "QueueCounts",
    "QueueOrder",
    "SlotQueue",
    "TierShares",
    "TokenMemory",
    "fast_enough",
    "is_weight",
]
