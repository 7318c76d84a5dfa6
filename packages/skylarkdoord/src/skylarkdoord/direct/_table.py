"""Routes and keys of one configuration, arranged for look-up."""

import random
from typing import NamedTuple

from skylarkdoord.direct._first_tries import FirstTries
from skylarkdoord.direct._model import (
    Admitted,
    CallerRequest,
    Customer,
    FleetConfig,
    Route,
)
from skylarkdoord.direct.exceptions import KeyUnknownError, RouteAbsentError

# Tiers of routes that each tier of customers has.
ROUTE_TIERS = 16


def tier(route: Route, customer: Customer | None) -> int:
    """Return a request's tier: the customer's first, the route's within it."""
    of_customer = customer.rank or 0 if customer is not None else 0
    return of_customer * ROUTE_TIERS + min(route.rank, ROUTE_TIERS - 1)


class _Host(NamedTuple):
    by_prefix: dict[str, Route]


class RoutingTable:
    """Finds the route and the customer of a request.

    Args:
        config: The configuration in force.
    """

    def __init__(self, config: FleetConfig) -> None:
        self.config = config
        self.hosts: dict[str, _Host] = {}
        for route in config.routes:
            host = self.hosts.setdefault(route.host.lower(), _Host({}))
            host.by_prefix[route.prefix] = route
        self.customers = {
            key: customer for customer in config.customers for key in customer.keys
        }

    def find_route(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix of the path.

        Raises:
            RouteAbsentError: No route of the host fits.
        """
        prefixes = self.hosts.get(host.lower())
        end = len(path)
        while prefixes is not None:
            end = path.rfind("/", 0, end)
            if end < 0:
                break
            route = prefixes.by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        raise RouteAbsentError(f"no route for {host} {path}")

    def find_customer(self, key: str) -> Customer:
        """Return the holder of an API key.

        Raises:
            KeyUnknownError: Nobody holds it.
        """
        customer = self.customers.get(key)
        if customer is None:
            raise KeyUnknownError("the API key is not known")
        return customer

    def admit(self, request: CallerRequest, first_tries: FirstTries) -> Admitted:
        """Resolve route, service, customer and tier of a request.

        Args:
            request: The request.
            first_tries: Tell how long its caller has waited already.

        Raises:
            RouteAbsentError: No route fits.
            KeyUnknownError: The route needs a key and this one is not known.
        """
        route = self.find_route(request.host, request.path)
        customer = None
        if self.config.customers and not route.is_open:
            customer = self.find_customer(request.key)
        waited_s = first_tries.waited_s(request, route)
        return Admitted(
            request=request,
            route=route,
            service=self.choose_service(route),
            customer=customer,
            rank=tier(route, customer),
            deadline=min(request.deadline, request.received + route.timeout_s),
            on_time_until=request.received + route.target_latency_s - waited_s,
            version=self.config.version,
        )

    def choose_service(self, route: Route) -> str:
        """Return one of the route's targets, drawn by weight."""
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return random.choices(route.targets, weights)[0].service
