"""Operators' HTTP API for settings, their history, instances and drains."""

from skylarkdoord.admin._drain_orders import DrainOrders
from skylarkdoord.admin._error_responses import with_errors
from skylarkdoord.admin._operators import ROOT_SCOPE, Caller, authenticate
from skylarkdoord.admin._service import AdminService

__all__ = [
    "ROOT_SCOPE",
    "AdminService",
    "Caller",
    "DrainOrders",
    "authenticate",
    "with_errors",
]
