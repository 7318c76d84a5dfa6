"""Looks up the tiers of a deployment's customers."""

from skylarkdoor_bench._deployments import Deployment


def customer_tiers(deployment: Deployment) -> dict[str, str]:
    """Return the tier of each customer."""
    return {
        name: customer.tier
        for team in deployment.teams.values()
        for name, customer in team.customers.items()
    }


def tier_ranks(deployment: Deployment) -> dict[str, int]:
    """Return the rank of each customer's tier; 0 is the most important."""
    tiers = deployment.fleet.tiers
    tiers_by_customer = customer_tiers(deployment)
    return {customer: tiers[tier].rank for customer, tier in tiers_by_customer.items()}
