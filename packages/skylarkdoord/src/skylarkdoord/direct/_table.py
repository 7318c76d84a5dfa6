"""Look-up of the route and the customer of a request in one configuration."""

import random
from typing import NamedTuple

from skylarkdoord.direct._first_attempts import FirstAttempts
from skylarkdoord.direct._model import (
    UNREAD_PREFIX,
    Admitted,
    CallerRequest,
    Customer,
    FleetConfig,
    Route,
)
from skylarkdoord.direct.exceptions import (
    ConfigUnreadError,
    KeyUnknownError,
    RouteAbsentError,
)

# Bound the tiers, as guards state their load for each of them.
CUSTOMER_TIERS = 16
# Number of route tiers within each customer tier.
ROUTE_TIERS = 16


def tiers(ranks: set[int], count: int) -> dict[int, int]:
    """Return the tier of each rank, from 0 for the most important.

    It is the rank itself, unless a rank is too high. Then the ranks are numbered in
    their order, and those beyond the number of tiers share the last one.

    Args:
        ranks: The ranks.
        count: Number of tiers.
    """
    ordered = sorted(ranks | {0})
    if ordered[-1] < count:
        return {rank: rank for rank in ordered}
    return {rank: min(tier, count - 1) for tier, rank in enumerate(ordered)}


class _Host(NamedTuple):
    by_prefix: dict[str, Route]


class RoutingTable:
    """Looks up the route and the customer of a request.

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
        self.route_tiers = tiers({route.rank for route in config.routes}, ROUTE_TIERS)
        self.customer_tiers = tiers(
            {customer.rank or 0 for customer in config.customers}, CUSTOMER_TIERS
        )

    def find_route(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix of the path.

        Raises:
            RouteAbsentError: The host has no route whose prefix matches the path.
            ConfigUnreadError: That route, or one that may be it, could not be read.
        """
        prefixes = self.hosts.get(host.lower())
        if prefixes is not None and UNREAD_PREFIX in prefixes.by_prefix:
            raise ConfigUnreadError(f"a route of {host} could not be read")
        end = len(path)
        while prefixes is not None:
            end = path.rfind("/", 0, end)
            if end < 0:
                break
            route = prefixes.by_prefix.get(path[: end + 1])
            if route is not None and not route.targets:
                raise ConfigUnreadError(f"the route of {host} {path} could not be read")
            if route is not None:
                return route
        raise RouteAbsentError(f"no route for {host} {path}")

    def find_customer(self, key: str) -> Customer:
        """Return the customer that an API key belongs to.

        Raises:
            KeyUnknownError: The key belongs to no customer.
            ConfigUnreadError: It may belong to a customer that could not be read.
        """
        customer = self.customers.get(key)
        if customer is None and self.config.has_unread_customers:
            raise ConfigUnreadError("a customer could not be read")
        if customer is None:
            raise KeyUnknownError("the API key is not known")
        return customer

    def admit(self, request: CallerRequest, first_attempts: FirstAttempts) -> Admitted:
        """Resolve the route, service, customer and tier of a request.

        Args:
            request: The request.
            first_attempts: Estimates how long the caller has waited since its first
                attempt.

        Raises:
            RouteAbsentError: No route matches the request.
            KeyUnknownError: The route requires an API key and the request's key belongs
                to no customer.
            ConfigUnreadError: The part of the configuration that decides on it could
                not be read.
        """
        route = self.find_route(request.host, request.path)
        customer = None
        if self.config.requires_keys and not route.is_anonymous:
            customer = self.find_customer(request.key)
        waited_s = first_attempts.waited_s(request, route)
        return Admitted(
            request=request,
            route=route,
            service=self.choose_service(route),
            customer=customer,
            rank=self.tier(route, customer),
            deadline=min(request.deadline, request.received + route.timeout_s),
            first_byte_due=request.received + route.target_latency_s - waited_s,
            version=self.config.version,
        )

    def tier(self, route: Route, customer: Customer | None) -> int:
        """Return a request's tier; 0 is the most important.

        The customer's tier takes precedence over the route's.
        """
        customer_tier = 0
        if customer is not None:
            customer_tier = self.customer_tiers[customer.rank or 0]
        return customer_tier * ROUTE_TIERS + self.route_tiers[route.rank]

    def choose_service(self, route: Route) -> str:
        """Return the service of one of the route's targets, drawn by weight."""
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return random.choices(route.targets, weights)[0].service
