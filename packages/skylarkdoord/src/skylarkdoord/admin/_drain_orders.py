"""The order to drain, as an instance gets it from an entry."""

from aiohttp import web

from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord.admin._answers import with_errors
from skylarkdoord.admin._operators import EVERYTHING, authenticate
from skylarkdoord.common import Departure, InternalServer, SettingsService
from skylarkdoord.common import _departure as departure


class DrainOrders:
    """Serves `/internal/drain`, which bears the operator's own token.

    Args:
        settings: Settings of this process.
    """

    name = "drain-orders"
    requires: tuple[str, ...] = ("settings", "departure")

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings

    async def start(self, kernel: Kernel) -> None:
        """Add the route."""
        self.shared = kernel.find("settings", SettingsService)
        self.departure = kernel.find("departure", Departure)
        internal = kernel.find("internal", InternalServer)
        internal.add_route("POST", "/internal/drain", with_errors(self.post_drain))

    async def stop(self) -> None:
        """Nothing is held."""

    async def post_drain(self, request: web.Request) -> web.Response:
        """Take no new work any more; the process stays until it is shut down."""
        hashes = self.settings.operator_token_hashes
        caller = authenticate(request.headers, self.shared.view.fleet, hashes)
        caller.require(EVERYTHING)
        self.departure.leave(departure.OPERATOR)
        return web.json_response(
            {"instance": self.settings.instance, "leaving": True}, status=200
        )
