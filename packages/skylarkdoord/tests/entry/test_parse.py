"""Tests of `skylarkdoord.entry._parse`."""

from aiohttp.test_utils import make_mocked_request

from skylarkdoor.settings import Customer, Pool, ResolvedCustomer, Tier
from skylarkdoord.entry._parse import Target, build_request

POOL = Pool(kind="service")


def fingerprint(
    *,
    method: str = "GET",
    path: str = "/packets/1",
    team: str = "gardens",
    customer: str = "teika-garden",
    body: bytes = b"",
) -> int:
    """Return the fingerprint of a call of a plain service."""
    raw = make_mocked_request(method, f"/services/registry{path}")
    settings = Customer(key_hashes=(), tier="swap", pools=("registry",))
    resolved = ResolvedCustomer(team, customer, settings, Tier(rank=1))
    target = Target("registry", POOL, path, True)
    return build_request(raw, resolved, target, body).fingerprint


class TestFingerprint:
    """Tests of the fingerprint, which identifies a request that crashes upstreams."""

    def test_same_call(self) -> None:
        """The same call sent again has the same fingerprint."""
        assert fingerprint() == fingerprint()

    def test_different_calls(self) -> None:
        """Calls that differ in any part have different fingerprints."""
        calls = {
            fingerprint(),
            fingerprint(path="/packets/2"),
            fingerprint(method="DELETE"),
            fingerprint(body=b"{}"),
            fingerprint(customer="agenskalns-garden"),
            fingerprint(team="volunteers"),
        }
        assert len(calls) == 6
