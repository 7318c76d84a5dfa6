"""Messages that a sidecar sends to entries."""

from skylarkdoor.hashing import sampled_prefix_hashes
from skylarkdoor.wire import pb
from skylarkdoord.sidecar._admission import FLOOR_S
from skylarkdoord.sidecar._ledger import GRANT_TIMEOUT_S

MS_PER_S = 1000
REASON_PREFIX = "REFUSAL_REASON_"
# Reasons after which offers of lower tiers would be refused as well.
FULL_REASONS = (pb.REFUSAL_REASON_QUEUE_FULL, pb.REFUSAL_REASON_DISPLACED)


def grant_message(
    offer: pb.Offer, grant: int, *, incarnation: int, cached_tokens: int
) -> pb.SidecarMessage:
    """Return the grant of a slot.

    Args:
        offer: The offer that is granted.
        grant: Number of the grant.
        incarnation: Incarnation of this sidecar.
        cached_tokens: Tokens of the prompt that the upstream need not compute.
    """
    message = pb.Grant(
        request_id=offer.request_id,
        grant=grant,
        incarnation=incarnation,
        expires_ms=int(GRANT_TIMEOUT_S * MS_PER_S),
        cached_tokens=cached_tokens,
    )
    return pb.SidecarMessage(grant=message)


def refusal_message(
    offer: pb.Offer, reason: "pb.RefusalReason", retry_after_s: float
) -> pb.SidecarMessage:
    """Return the refusal of an offer, whose request has not been run.

    Args:
        offer: The offer that is refused.
        reason: Why it is refused.
        retry_after_s: Time after which it may be offered again, in seconds.
    """
    refusal = pb.Refusal(
        request_id=offer.request_id,
        reason=reason,
        retry_after_ms=int(retry_after_s * MS_PER_S),
    )
    if reason in FULL_REASONS:
        refusal.floor_ms = int(FLOOR_S * MS_PER_S)
    return pb.SidecarMessage(refusal=refusal)


def reason_name(reason: "pb.RefusalReason") -> str:
    """Return the name of a reason as it is shown in metrics."""
    return pb.RefusalReason.Name(reason).removeprefix(REASON_PREFIX).lower()


def held_message(offer: pb.Offer) -> pb.SidecarMessage:
    """Return the parts of a prompt that the upstream now keeps."""
    hashes = sampled_prefix_hashes(offer.prefix_hashes)
    return pb.SidecarMessage(held=pb.Held(model=offer.model, marks=hashes))


def leaving_message(reason: str, *, is_draining: bool) -> pb.SidecarMessage:
    """Return the start or the end of draining."""
    return pb.SidecarMessage(leaving=pb.Leaving(reason=reason, ended=not is_draining))
