"""What a request has in common with others that may crash upstreams as well."""

from functools import lru_cache
from typing import NamedTuple

from skylarkdoor.hashing import fingerprint
from skylarkdoord.direct._model import Admitted

# Bounds on what is kept of one request's parts.
MAX_SHARED_PARTS = 128
MAX_NAME_LENGTH = 64
# Parts whose fingerprints are remembered, as most of them are in many requests.
MAX_CACHED_PARTS = 16_384


class SharedPart(NamedTuple):
    """A part of a prompt that other requests may have as well.

    Attributes:
        fingerprint: Fingerprint of the part and of the service that runs it.
        name: Its identity as the caller stated it, shortened.
    """

    fingerprint: int
    name: str


def fingerprint_of(admitted: Admitted) -> int:
    """Return the fingerprint of a request, which its repeats share.

    It covers the customer, method, target and body.
    """
    request = admitted.request
    call = f"{request.method} {request.target}".encode() + b"\0" + request.body
    return fingerprint(admitted.customer.name if admitted.customer else "", call)


def shared_parts(admitted: Admitted) -> tuple[SharedPart, ...]:
    """Return the parts of a request's prompt that other requests may share.

    The last part belongs to the request or its session alone.
    """
    identities = [part.identity for part in admitted.request.prefix]
    shared = list(dict.fromkeys(identities[:-1]))[:MAX_SHARED_PARTS]
    return tuple(shared_part(admitted.service, identity) for identity in shared)


@lru_cache(maxsize=MAX_CACHED_PARTS)
def shared_part(service: str, identity: str) -> SharedPart:
    """Return a part of the prompts of requests for a service."""
    return SharedPart(
        fingerprint("prompt part", f"{service}\0{identity}".encode()),
        identity[:MAX_NAME_LENGTH],
    )
