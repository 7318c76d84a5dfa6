"""The operators' API: settings, their history, instances and drains."""

from skylarkdoord.admin._drain_orders import DrainOrders
from skylarkdoord.admin._service import AdminService

__all__ = ["AdminService", "DrainOrders"]
