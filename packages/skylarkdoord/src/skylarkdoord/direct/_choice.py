"""Chooses the upstream that takes a request."""

import hashlib
import math
from collections.abc import Callable

from skylarkdoord.direct._guard_link import GuardLink
from skylarkdoord.direct._model import UpstreamRecord
from skylarkdoord.direct._upstream_limits import UpstreamLimits
from skylarkdoord.direct._upstreams import Upstream, Upstreams
from skylarkdoord.direct.rollouts import Versions

# Ratio of the slots that all entries together may use to the upstream's slots. Above
# 1, as callers do not spread evenly over the entries.
OVERCOMMIT_RATIO = 1.5
# Lower limit of an entry's slots at all upstreams of a service without guards.
MIN_TOTAL_SLOTS = 4
# Cost of an upstream in another data centre. A cost of 1 is the difference between a
# fully used upstream and an idle one.
REMOTE_COST = 0.05
# Cost of an upstream that answers every request with an error, in the same unit.
FAILURE_COST = 10.0
HASH_BYTES = 8
ANY_VERSION = Versions()


class UpstreamChoice:
    """Chooses upstreams by their load, latency, failures, distance and limits.

    Args:
        upstreams: The upstreams in use.
        limits: Limits on requests that upstreams named.
        instance: Name of this entry.
        data_centre: Data centre of this entry.
        live_entries: Returns how many entries share the upstreams.

    Attributes:
        guard_link_of: Returns the stream to an upstream's guard; None without a guard.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        limits: UpstreamLimits,
        *,
        instance: str,
        data_centre: str,
        live_entries: Callable[[], int],
    ) -> None:
        self.upstreams = upstreams
        self.limits = limits
        self.instance = instance
        self.data_centre = data_centre
        self.live_entries = live_entries
        self.guard_link_of: Callable[[UpstreamRecord], GuardLink | None] = lambda _: (
            None
        )

    def slot_limit(self, upstream: Upstream) -> int:
        """Return how many requests of this entry may run at an upstream at once.

        If an entry's share is below one slot, the entry has a single slot at some of
        the upstreams and none at the others. One slot per entry at every upstream
        would overload all of them.
        """
        share = upstream.record.slots / max(1, self.live_entries()) * OVERCOMMIT_RATIO
        if share >= 1.0:
            return math.ceil(share)
        return int(self.hash_fraction(upstream) < share)

    def hash_fraction(self, upstream: Upstream) -> float:
        """Return a hash of this entry and an upstream, scaled to the range 0 to 1."""
        name = f"{self.instance} {upstream.instance}".encode()
        digest = hashlib.blake2b(name, digest_size=HASH_BYTES).digest()
        return int.from_bytes(digest) / 256**HASH_BYTES

    def has_version(self, service: str, version: str | None) -> bool:
        """Return whether a service has an upstream of a version that stays.

        One that wants no requests for a time counts; one that leaves does not.

        Args:
            service: The service.
            version: The version; None for any.
        """
        return any(
            version in (None, upstream.record.version) and not upstream.is_leaving
            for upstream in self.upstreams.listed(service)
        )

    def candidates(
        self,
        service: str,
        excluded: frozenset[str],
        versions: Versions = ANY_VERSION,
    ) -> list[Upstream]:
        """Return the upstreams of a service that may take a request.

        Excluded instances are only returned if the service has no others within their
        limits, and a paused one only if there are no others. For a request that goes on
        with a stream, those that may have ended since they were listed are not returned
        at all.

        Args:
            service: The service.
            excluded: Instances to avoid.
            versions: Versions of the upstreams that may take it.
        """
        listed = [
            upstream
            for upstream in self.upstreams.of_service(service)
            if self.may_take(upstream, versions)
        ]
        preferred = [
            upstream for upstream in listed if upstream.instance in versions.preferred
        ]
        if preferred:
            listed = preferred
        unlimited = [
            upstream for upstream in listed if self.limits.has_room(upstream.record)
        ]
        others = [
            upstream for upstream in unlimited if upstream.instance not in excluded
        ]
        return self.upstreams.unpaused(others or unlimited)

    def may_take(self, upstream: Upstream, versions: Versions) -> bool:
        """Return whether an upstream has one of the versions, as far as is known."""
        if versions.is_bound and self.upstreams.may_have_ended(upstream.record):
            return False
        if versions.begins_stream and not self.upstreams.may_begin(upstream.record):
            return False
        return versions.allows(upstream.record.version)

    def unguarded(
        self,
        service: str,
        excluded: frozenset[str],
        versions: Versions = ANY_VERSION,
    ) -> Upstream | None:
        """Return the best upstream that has no guard but has a free slot.

        If no candidate has a guard and this entry's slots total less than
        `MIN_TOTAL_SLOTS`, it may use one slot at each upstream. Otherwise its requests
        would queue while upstreams are idle.
        """
        candidates = self.candidates(service, excluded, versions)
        unguarded = [
            upstream
            for upstream in candidates
            if self.guard_link_of(upstream.record) is None
        ]
        slot_limits = [self.slot_limit(upstream) for upstream in unguarded]
        is_short = sum(slot_limits) < MIN_TOTAL_SLOTS and len(unguarded) == len(
            candidates
        )
        min_slots = 1 if is_short else 0
        free = [
            upstream
            for upstream, slot_limit in zip(unguarded, slot_limits, strict=True)
            if upstream.running < max(min_slots, slot_limit)
        ]
        return min(
            free,
            key=lambda upstream: self.cost(upstream, upstream.running),
            default=None,
        )

    def cost(self, upstream: Upstream, running: int) -> float:
        """Return the cost of choosing an upstream; lower is better."""
        busy = (running + 1) / max(1, upstream.record.slots)
        failures = FAILURE_COST * self.upstreams.excess_failures(upstream)
        is_remote = upstream.record.data_centre != self.data_centre
        distance = REMOTE_COST if is_remote else 0.0
        return upstream.latency_ratio * (1.0 + busy) + failures + distance
