"""Operators' HTTP API for settings, their history, instances and drains."""

from skylarkdoord.admin._drain_route import DrainRoute
from skylarkdoord.admin._error_responses import handle_errors
from skylarkdoord.admin._operators import (
    ROOT_SCOPE,
    AuthenticatedOperator,
    authenticate,
)
from skylarkdoord.admin._service import AdminService

__all__ = [
    "ROOT_SCOPE",
    "AdminService",
    "AuthenticatedOperator",
    "DrainRoute",
    "authenticate",
    "handle_errors",
]
