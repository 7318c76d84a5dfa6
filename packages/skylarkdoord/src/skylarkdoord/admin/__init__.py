"""The operators' API: settings, their history, instances and drains."""

from skylarkdoord.admin._answers import with_errors
from skylarkdoord.admin._drain_orders import DrainOrders
from skylarkdoord.admin._operators import EVERYTHING, Caller, authenticate
from skylarkdoord.admin._service import AdminService

__all__ = [
    "EVERYTHING",
    "AdminService",
    "Caller",
    "DrainOrders",
    "authenticate",
    "with_errors",
]
