"""Checks across subtrees: names that point nowhere."""

from collections.abc import Iterator, Mapping

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings._shared import Customer, Fleet, Team, team_path


def check_shared(fleet: Fleet, teams: Mapping[str, Team]) -> None:
    """Check that every name used is defined.

    Args:
        fleet: The fleet's subtree.
        teams: Teams by name.

    Raises:
        ExceptionGroup: One `SettingsError` for each name that is not defined.
    """
    problems = list(_fleet_problems(fleet))
    for name, team in teams.items():
        for customer_name, customer in team.customers.items():
            path = f"{team_path(name)}/customers/{customer_name}"
            problems.extend(_customer_problems(fleet, customer, path))
    if problems:
        raise ExceptionGroup("settings are inconsistent", problems)


def _fleet_problems(fleet: Fleet) -> Iterator[SettingsError]:
    ranks = [tier.rank for tier in fleet.tiers.values()]
    if len(set(ranks)) != len(ranks):
        yield SettingsError(
            "expected a rank of its own for each tier", path="/fleet/tiers"
        )
    for name, pool in fleet.pools.items():
        if pool.kind == "model" and not pool.models:
            yield SettingsError(
                "expected at least one model", path=f"/fleet/pools/{name}/models"
            )
        if pool.min_running > pool.max_running:
            yield SettingsError(
                "expected at most max_running", path=f"/fleet/pools/{name}/min_running"
            )


def _customer_problems(
    fleet: Fleet, customer: Customer, path: str
) -> Iterator[SettingsError]:
    if customer.tier not in fleet.tiers:
        yield SettingsError(
            f"no tier {customer.tier!r}; expected one of {sorted(fleet.tiers)}",
            path=f"{path}/tier",
        )
    for pool in customer.pools:
        if pool not in fleet.pools:
            yield SettingsError(
                f"no pool {pool!r}; expected one of {sorted(fleet.pools)}",
                path=f"{path}/pools",
            )
