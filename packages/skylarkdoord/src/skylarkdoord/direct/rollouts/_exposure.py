"""Bounds what one entry sends to a version on trial.

Answers uneven traffic and many entries: the bound is a share of the entry's own
requests, so that the sum over entries needs no exchange of messages.
"""

import math
from collections import Counter
from collections.abc import Collection

import xxhash

from skylarkdoor.hashing import rendezvous
from skylarkdoord.direct.rollouts._evidence import Evidence
from skylarkdoord.direct.rollouts._model import RolloutBounds, RolloutOrder

# Parts of the deployment's bounds that a trial may use up. The rest is for requests
# that are sent before a decision is heard of, for restarts and for the handover.
FRACTION_USED = 0.5
TOLERANCE_USED = 0.4


class Exposure:
    """What an entry may send to the new version of an order.

    Each request adds the share to a credit, and each whole request of it goes to the
    new version. The credit and the bound begin with the same part of a request, drawn
    by a hash. So the sum over many entries with few requests each follows the
    share, rather than one request for each entry.

    Args:
        order: The order.
        bounds: Bounds that the deployment states.
        instance: Name of the entry.

    Attributes:
        offset: Part of a request with which the credit and the bound begin.
        credit: Requests for the new version that the share has yielded.
        taken: Requests that were given the new version.
        seen_by_route: First attempts by route.
        taken_by_route: Those of them that were given the new version.
        used: Requests that were given the new version, or sent to it without.
        most_entries: Most entries that were live since the order.
    """

    def __init__(
        self, order: RolloutOrder, bounds: RolloutBounds, instance: str
    ) -> None:
        self.bounds = bounds
        self.name = f"{instance} {order.service} {order.version} {order.ordered_at}"
        self.offset = fraction_of(self.name)
        self.credit = self.offset
        self.taken = 0
        self.seen_by_route: Counter[str] = Counter()
        self.taken_by_route: Counter[str] = Counter()
        self.used = 0
        self.most_entries = 1

    def take(
        self, route: str, share: float, evidence: Evidence, live_entries: int
    ) -> bool:
        """Return whether a first attempt gets the new version, and count it."""
        self.seen_by_route[route] += 1
        # A credit that can't be used, as there is no room, is not saved up.
        self.credit = min(self.credit + share, self.taken + 2.0)
        is_taken = (
            self.credit >= self.taken + 1 + self.delay()
            and self.is_due(route)
            and self.has_room(evidence, live_entries)
        )
        if is_taken:
            self.taken += 1
            self.taken_by_route[route] += 1
            self.used += 1
        return is_taken

    def delay(self) -> float:
        """Return by how much of a request the next one is delayed.

        It varies, as requests that alternate between routes would otherwise give all of
        the share to one of them.
        """
        return fraction_of(f"{self.name} {self.taken}") if self.taken else 0.0

    def is_due(self, route: str) -> bool:
        """Return whether a route is not ahead of its part by more than a request."""
        part = self.seen_by_route[route] / self.seen_by_route.total()
        return self.taken_by_route[route] <= part * self.taken + 1

    def has_room(self, evidence: Evidence, live_entries: int) -> bool:
        """Return whether another request may be sent to the new version.

        Args:
            evidence: What the entry has sent since the order.
            live_entries: Entries that are live. The most that ever were share the
                tolerance, as an entry that is cut off sees fewer.
        """
        self.most_entries = max(self.most_entries, live_entries)
        sent = evidence.sent_old + evidence.sent_new
        share = FRACTION_USED * self.bounds.exposure_fraction * sent
        tolerance = TOLERANCE_USED * self.bounds.exposure_tolerance / self.most_entries
        return self.used + 1 <= share + tolerance + self.offset


def trial_instances(
    order: RolloutOrder, share: float, new_instances: Collection[str]
) -> frozenset[str]:
    """Return the upstreams that carry the trial, the same at each entry.

    They are as many as would carry the share at the load that all upstreams of the
    service have, as some faults show only under load.

    Args:
        order: The order.
        share: Share of the service's requests.
        new_instances: Upstreams of the new version that are ready.
    """
    count = max(1, math.ceil(share * len(new_instances)))
    key = f"{order.service} {order.version} {order.ordered_at}"
    return frozenset(rendezvous(key, new_instances, count=count))


def fraction_of(name: str) -> float:
    """Return a hash of a name, scaled to the range 0 to 1."""
    return xxhash.xxh3_64_intdigest(name.encode()) / 2.0**64
