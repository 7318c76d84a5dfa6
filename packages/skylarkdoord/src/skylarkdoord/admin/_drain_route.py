"""Internal route through which an entry tells this instance to drain."""

from aiohttp import web

from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord.admin._error_responses import handle_errors
from skylarkdoord.admin._operators import ROOT_SCOPE, authenticate
from skylarkdoord.common import DrainState, InternalServer, SettingsService
from skylarkdoord.common import _drain_state as drain_state


class DrainRoute:
    """Serves `/internal/drain`; entries forward the operator's token with it.

    Args:
        settings: Settings of this process.
    """

    name = "drain-orders"
    requires: tuple[str, ...] = ("settings", "departure")

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings

    async def start(self, kernel: Kernel) -> None:
        """Add the route."""
        self.settings_service = kernel.find("settings", SettingsService)
        self.drain_state = kernel.find("departure", DrainState)
        internal = kernel.find("internal", InternalServer)
        internal.add_route("POST", "/internal/drain", handle_errors(self.post_drain))

    async def stop(self) -> None:
        """Do nothing; there are no resources to release."""

    async def post_drain(self, request: web.Request) -> web.Response:
        """Stop accepting new work; the process runs until it is shut down."""
        hashes = self.settings.operator_token_hashes
        operator = authenticate(
            request.headers, self.settings_service.view.fleet, hashes
        )
        operator.require(ROOT_SCOPE)
        self.drain_state.start_drain(drain_state.OPERATOR)
        return web.json_response(
            {"instance": self.settings.instance, "leaving": True}, status=200
        )
