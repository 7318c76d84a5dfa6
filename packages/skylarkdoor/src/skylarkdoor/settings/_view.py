"""The settings in force in a process, by subtree."""

import sys
from collections.abc import Iterator
from typing import NamedTuple

from skylarkdoor.settings._shared import (
    FLEET_PATH,
    Customer,
    Fleet,
    Team,
    Tier,
)


class Subtree(NamedTuple):
    """One subtree as stored in the table.

    Attributes:
        path: `/fleet` or `/teams/NAME`.
        revision: Number that increases with each accepted change.
        content: The validated document.
    """

    path: str
    revision: int
    content: Fleet | Team


class ResolvedCustomer(NamedTuple):
    """The customer to whom an API key belongs, with its team and tier."""

    team: str
    customer_name: str
    customer: Customer
    tier: Tier


class CustomerRef(NamedTuple):
    """Reference to a customer in the settings.

    Attributes:
        path: Path of the team's subtree.
        name: Name of the customer.
    """

    path: str
    name: str


class SettingsView:
    """The subtrees in force; a subtree is never replaced by a lower revision."""

    def __init__(self) -> None:
        self.subtrees: dict[str, Subtree] = {}
        self.by_key_hash: dict[str, CustomerRef] = {}
        self.shared_pools: dict[tuple[str, ...], tuple[str, ...]] = {}

    @property
    def fleet(self) -> Fleet:
        """Content of the fleet's subtree, empty until one is applied."""
        subtree = self.subtrees.get(FLEET_PATH)
        if subtree is None or not isinstance(subtree.content, Fleet):
            return Fleet(tiers={}, pools={})
        return subtree.content

    def revision(self, path: str) -> int:
        """Return the revision of the subtree in force at a path, 0 if there is none."""
        subtree = self.subtrees.get(path)
        return 0 if subtree is None else subtree.revision

    def apply(self, subtree: Subtree) -> bool:
        """Put a subtree in force if its revision is higher than the current one.

        Returns:
            Whether the subtree was put in force.
        """
        previous = self.subtrees.get(subtree.path)
        if previous is not None and subtree.revision <= previous.revision:
            return False
        if isinstance(subtree.content, Team):
            subtree = subtree._replace(content=self._deduplicate(subtree.content))
        if previous is not None:
            self._remove_keys(previous)
        self.subtrees[subtree.path] = subtree
        self._add_keys(subtree)
        return True

    def resolve(self, hashed_key: str) -> ResolvedCustomer | None:
        """Return the customer to whom an API key belongs, given the key's hash."""
        ref = self.by_key_hash.get(hashed_key)
        return None if ref is None else self.find_customer(ref)

    def find_customer(self, ref: CustomerRef) -> ResolvedCustomer | None:
        """Return a customer, or None while its tier is not defined."""
        team = self.subtrees[ref.path].content
        assert isinstance(team, Team)
        customer = team.customers[ref.name]
        tier = self.fleet.tiers.get(customer.tier)
        if tier is None:
            return None
        return ResolvedCustomer(ref.path.rpartition("/")[2], ref.name, customer, tier)

    def customers(self) -> Iterator[ResolvedCustomer]:
        """Yield every customer whose tier is defined."""
        for path, subtree in self.subtrees.items():
            if isinstance(subtree.content, Team):
                for name in subtree.content.customers:
                    resolved = self.find_customer(CustomerRef(path, name))
                    if resolved is not None:
                        yield resolved

    def _deduplicate(self, team: Team) -> Team:
        """Return the team with equal tiers and pools of customers stored only once."""
        return Team(
            {
                name: customer._replace(
                    tier=sys.intern(customer.tier),
                    pools=self.shared_pools.setdefault(customer.pools, customer.pools),
                )
                for name, customer in team.customers.items()
            }
        )

    def _add_keys(self, subtree: Subtree) -> None:
        if not isinstance(subtree.content, Team):
            return
        for name, customer in subtree.content.customers.items():
            ref = CustomerRef(subtree.path, name)
            for hashed in customer.key_hashes:
                self.by_key_hash[hashed] = ref

    def _remove_keys(self, subtree: Subtree) -> None:
        if not isinstance(subtree.content, Team):
            return
        for customer in subtree.content.customers.values():
            for hashed in customer.key_hashes:
                ref = self.by_key_hash.get(hashed)
                if ref is not None and ref.path == subtree.path:
                    del self.by_key_hash[hashed]
