"""Checks across subtrees: undefined names and contradictory values."""

from collections.abc import Iterator, Mapping

from skylarkdoor.exceptions import SettingsError, SettingsErrorGroup
from skylarkdoor.settings._shared import FLEET_PATH, Customer, Fleet, Team, team_path


def check_shared(fleet: Fleet, teams: Mapping[str, Team]) -> None:
    """Check that every name that is used is defined and that values agree.

    Args:
        fleet: Content of the fleet's subtree.
        teams: Contents of the teams' subtrees, by team.

    Raises:
        SettingsErrorGroup: One `SettingsError` for each undefined name and
            each value that contradicts another one.
    """
    problems = list(_fleet_problems(fleet))
    for name, team in teams.items():
        for customer_name, customer in team.customers.items():
            problems.extend(_customer_problems(fleet, customer, name, customer_name))
        problems.extend(_duplicate_api_keys({name: team}))
    if problems:
        raise SettingsErrorGroup("settings are inconsistent", problems)


def check_api_keys(teams: Mapping[str, Team]) -> None:
    """Check that no API key belongs to more than one customer.

    A change of a team's settings is not rejected for a key that another team lists:
    otherwise a team could block the changes of another team by listing its keys.

    Raises:
        SettingsErrorGroup: One `SettingsError` for each customer that lists
            the key of another one.
    """
    problems = list(_duplicate_api_keys(teams))
    if problems:
        raise SettingsErrorGroup("settings are inconsistent", problems)


def _problem(subtree: str, *keys: str, message: str) -> SettingsError:
    return SettingsError(message, path="/".join((subtree, *keys)), keys=keys)


def _fleet_problems(fleet: Fleet) -> Iterator[SettingsError]:
    ranks = [tier.rank for tier in fleet.tiers.values()]
    if len(set(ranks)) != len(ranks):
        yield _problem(
            FLEET_PATH, "tiers", message="expected a unique rank for each tier"
        )
    for name, pool in fleet.pools.items():
        keys = ("pools", name)
        if pool.kind == "model" and not pool.models:
            yield _problem(
                FLEET_PATH, *keys, "models", message="expected at least one model"
            )
        if pool.min_running > pool.max_running:
            yield _problem(
                FLEET_PATH, *keys, "min_running", message="expected at most max_running"
            )


def _customer_problems(
    fleet: Fleet, customer: Customer, team: str, name: str
) -> Iterator[SettingsError]:
    keys = ("customers", name)
    if customer.tier not in fleet.tiers:
        message = f"no tier {customer.tier!r}; expected one of {sorted(fleet.tiers)}"
        yield _problem(team_path(team), *keys, "tier", message=message)
    for pool in customer.pools:
        if pool not in fleet.pools:
            message = f"no pool {pool!r}; expected one of {sorted(fleet.pools)}"
            yield _problem(team_path(team), *keys, "pools", message=message)


def _duplicate_api_keys(teams: Mapping[str, Team]) -> Iterator[SettingsError]:
    """Yield a problem for each API key that belongs to several customers."""
    owners: dict[str, str] = {}
    for team_name, team in teams.items():
        for name, customer in team.customers.items():
            owner = f"{team_name}/{name}"
            for hashed in customer.key_hashes:
                first = owners.setdefault(hashed, owner)
                if first != owner:
                    yield _problem(
                        team_path(team_name),
                        "customers",
                        name,
                        "key_hashes",
                        message=f"API key already belongs to customer {first}",
                    )
