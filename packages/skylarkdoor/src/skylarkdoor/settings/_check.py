"""Checks across subtrees: names that point nowhere."""

from collections.abc import Iterator, Mapping

from skylarkdoor.exceptions import SettingsError, SettingsErrorGroup
from skylarkdoor.settings._shared import FLEET_PATH, Customer, Fleet, Team, team_path


def check_shared(fleet: Fleet, teams: Mapping[str, Team]) -> None:
    """Check that every name used is defined.

    Args:
        fleet: The fleet's subtree.
        teams: Teams by name.

    Raises:
        SettingsErrorGroup: One `SettingsError` for each name that is not
            defined and each value that contradicts another.
    """
    problems = list(_fleet_problems(fleet))
    for name, team in teams.items():
        for customer_name, customer in team.customers.items():
            problems.extend(_customer_problems(fleet, customer, name, customer_name))
        problems.extend(_repeated_keys({name: team}))
    if problems:
        raise SettingsErrorGroup("settings are inconsistent", problems)


def check_keys(teams: Mapping[str, Team]) -> None:
    """Check that no API key stands for customers of two teams.

    A team's change is not held up for this: else one team could keep another
    from changing its settings by listing a key of it.

    Raises:
        SettingsErrorGroup: One `SettingsError` for each key listed again.
    """
    problems = list(_repeated_keys(teams))
    if problems:
        raise SettingsErrorGroup("settings are inconsistent", problems)


def _problem(subtree: str, *keys: str, message: str) -> SettingsError:
    return SettingsError(message, path="/".join((subtree, *keys)), keys=keys)


def _fleet_problems(fleet: Fleet) -> Iterator[SettingsError]:
    ranks = [tier.rank for tier in fleet.tiers.values()]
    if len(set(ranks)) != len(ranks):
        yield _problem(
            FLEET_PATH, "tiers", message="expected a rank of its own for each tier"
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


def _repeated_keys(teams: Mapping[str, Team]) -> Iterator[SettingsError]:
    """Yield a problem for each API key that stands for two customers."""
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
                        message=f"a key of {first} is listed again",
                    )
