"""The settings that a process holds, subtree by subtree."""

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
    """One subtree as it stands in the table.

    Attributes:
        path: `/fleet` or `/teams/NAME`.
        revision: Number that grows with each accepted change.
        content: The checked document.
    """

    path: str
    revision: int
    content: Fleet | Team


class Resolved(NamedTuple):
    """What an API key stands for."""

    team: str
    customer_name: str
    customer: Customer
    tier: Tier


class CustomerRef(NamedTuple):
    """Where the customer stands to whom an API key belongs."""

    path: str
    name: str


class SettingsView:
    """Subtrees in force; a lower revision never replaces a higher one."""

    def __init__(self) -> None:
        self.subtrees: dict[str, Subtree] = {}
        self.by_key_hash: dict[str, CustomerRef] = {}
        self.shared_pools: dict[tuple[str, ...], tuple[str, ...]] = {}

    @property
    def fleet(self) -> Fleet:
        """The fleet's subtree, empty until one is applied."""
        subtree = self.subtrees.get(FLEET_PATH)
        if subtree is None or not isinstance(subtree.content, Fleet):
            return Fleet(tiers={}, pools={})
        return subtree.content

    def revision(self, path: str) -> int:
        """Return the revision in force at a path, 0 if none is."""
        subtree = self.subtrees.get(path)
        return 0 if subtree is None else subtree.revision

    def apply(self, subtree: Subtree) -> bool:
        """Put a subtree in force if its revision is higher than the one held.

        Returns:
            Whether it came into force.
        """
        former = self.subtrees.get(subtree.path)
        if former is not None and subtree.revision <= former.revision:
            return False
        if isinstance(subtree.content, Team):
            subtree = subtree._replace(content=self._compact(subtree.content))
        if former is not None:
            self._forget_keys(former)
        self.subtrees[subtree.path] = subtree
        self._add_keys(subtree)
        return True

    def resolve(self, hashed_key: str) -> Resolved | None:
        """Return the customer to whom a hashed API key belongs."""
        ref = self.by_key_hash.get(hashed_key)
        return None if ref is None else self.find_customer(ref)

    def find_customer(self, ref: CustomerRef) -> Resolved | None:
        """Return a customer, None while its tier is not defined."""
        team = self.subtrees[ref.path].content
        assert isinstance(team, Team)
        customer = team.customers[ref.name]
        tier = self.fleet.tiers.get(customer.tier)
        if tier is None:
            return None
        return Resolved(ref.path.rpartition("/")[2], ref.name, customer, tier)

    def customers(self) -> Iterator[Resolved]:
        """Yield every customer whose tier is defined."""
        for path, subtree in self.subtrees.items():
            if isinstance(subtree.content, Team):
                for name in subtree.content.customers:
                    resolved = self.find_customer(CustomerRef(path, name))
                    if resolved is not None:
                        yield resolved

    def _compact(self, team: Team) -> Team:
        """Return the team with what its customers have alike held once."""
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

    def _forget_keys(self, subtree: Subtree) -> None:
        if not isinstance(subtree.content, Team):
            return
        for customer in subtree.content.customers.values():
            for hashed in customer.key_hashes:
                ref = self.by_key_hash.get(hashed)
                if ref is not None and ref.path == subtree.path:
                    del self.by_key_hash[hashed]
