"""Weights of customers, from their configured rates."""

from collections.abc import Callable

from skylarkdoord.direct._model import Customer, FleetConfig
from skylarkdoord.direct.shares._fair_order import is_weight


def mean_rate(customers: tuple[Customer, ...]) -> float | None:
    """Return the mean rate of all customers, or None if rates are no weights.

    They are weights only if each customer has a rate and all count the same unit, as
    tokens and requests can't be compared.
    """
    if not customers or len({customer.counts_tokens for customer in customers}) > 1:
        return None
    if not all(is_weight(customer.rate) for customer in customers):
        return None
    return sum(customer.rate for customer in customers) / len(customers)


class CustomerWeights:
    """The weights of customers in the configuration in force.

    Args:
        config: Returns the configuration; None while none is known.
    """

    def __init__(self, config: Callable[[], FleetConfig | None]) -> None:
        self.config = config
        self.version: int | None = None
        self.mean_rate: float | None = None

    def weight(self, customer: Customer | None) -> float:
        """Return a customer's weight; the mean weight of all customers is 1.

        Requests without a customer have the weight of one average customer together.
        """
        config = self.config()
        if config is not None and config.version != self.version:
            self.version = config.version
            self.mean_rate = mean_rate(config.customers)
        if customer is None or self.mean_rate is None:
            return 1.0
        # A request may still have a customer of the former configuration.
        weight = customer.rate / self.mean_rate
        return weight if is_weight(weight) else 1.0
