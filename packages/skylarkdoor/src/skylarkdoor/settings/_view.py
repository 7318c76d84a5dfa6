"""The settings that a process holds, subtree by subtree."""

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


class SettingsView:
    """Subtrees in force; a lower revision never replaces a higher one."""

    def __init__(self) -> None:
        self.subtrees: dict[str, Subtree] = {}
        self.by_key_hash: dict[str, Resolved] = {}

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
        if subtree.revision <= self.revision(subtree.path):
            return False
        self.subtrees[subtree.path] = subtree
        self._index()
        return True

    def resolve(self, hashed_key: str) -> Resolved | None:
        """Return the customer to whom a hashed API key belongs."""
        return self.by_key_hash.get(hashed_key)

    def _index(self) -> None:
        self.by_key_hash = {}
        tiers = self.fleet.tiers
        for path, subtree in self.subtrees.items():
            if not isinstance(subtree.content, Team):
                continue
            team = path.rpartition("/")[2]
            for name, customer in subtree.content.customers.items():
                tier = tiers.get(customer.tier)
                if tier is None:
                    continue
                for hashed in customer.key_hashes:
                    self.by_key_hash[hashed] = Resolved(team, name, customer, tier)
