"""Finds the parts of prompts that explain crashes of upstreams."""

from collections.abc import Iterable
from typing import NamedTuple

# Crashes since the latest answer after which a part is quarantined.
MAX_PART_CRASHES = 4
# Those of them that nothing else explains, of a part that no upstream answered lately.
MIN_UNEXPLAINED = 2
# Time in which a part that was answered lately may be answered again before it is
# quarantined.
ANSWER_TIME_S = 1.5
# Without a new crash or answer, a part is quarantined only if it explains all crashes
# of the suspects and this many more than any other suspect. If all upstreams crash for
# another reason, common parts share the crashes, and are rarely that far apart.
MIN_LEAD = 2


class PartEvidence(NamedTuple):
    """What speaks against a part.

    Attributes:
        fingerprint: Fingerprint of the part.
        crashes: Crashes of which it is suspected.
        was_answered: Whether an upstream answered a request with it lately.
        age_s: Time for which the first of the crashes has been known, in seconds.
    """

    fingerprint: int
    crashes: frozenset[str]
    was_answered: bool
    age_s: float = 0.0

    def is_culprit(self, unexplained: int) -> bool:
        """Return whether it crashes upstreams.

        Args:
            unexplained: Number of its crashes that nothing else explains.
        """
        if len(self.crashes) < MAX_PART_CRASHES:
            return False
        if not self.was_answered:
            return unexplained >= MIN_UNEXPLAINED
        return unexplained >= MAX_PART_CRASHES and self.age_s >= ANSWER_TIME_S


def find_culprits(
    suspects: Iterable[PartEvidence],
    explained: frozenset[str],
    requests: Iterable[frozenset[str]] = (),
) -> list[PartEvidence]:
    """Return a small set of parts that explains the crashes of all suspects.

    Args:
        suspects: The parts.
        explained: Crashes that are explained already.
        requests: Crashes of each request that crashes upstreams by itself. One request
            may explain the crashes of a part; if it takes several, the part does.
    """
    requests = [frozenset(), *requests]
    ranked = sorted(
        suspects,
        key=lambda suspect: (
            suspect.was_answered,
            -len(suspect.crashes),
            suspect.fingerprint,
        ),
    )
    culprits = []
    for suspect in ranked:
        remaining = suspect.crashes - explained
        unexplained = min(len(remaining - crashes) for crashes in requests)
        if suspect.is_culprit(unexplained):
            culprits.append(suspect)
            explained |= suspect.crashes
    return culprits


def find_leading(
    suspects: Iterable[PartEvidence], requests: Iterable[frozenset[str]] = ()
) -> PartEvidence | None:
    """Return the part that alone explains all crashes of the suspects, if any.

    Args:
        suspects: The parts.
        requests: Crashes of each request that crashes upstreams by itself.
    """
    ranked = sorted(suspects, key=lambda suspect: len(suspect.crashes), reverse=True)
    if not ranked:
        return None
    first, *others = ranked
    is_whole = all(other.crashes <= first.crashes for other in others)
    most = max((len(other.crashes) for other in others), default=0)
    has_lead = len(first.crashes) - most >= MIN_LEAD
    unexplained = min(
        len(first.crashes - crashes) for crashes in [frozenset(), *requests]
    )
    is_culprit = first.is_culprit(unexplained)
    return first if is_whole and has_lead and is_culprit else None
