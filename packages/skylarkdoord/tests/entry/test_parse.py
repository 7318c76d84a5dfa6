"""Tests of `skylarkdoord.entry._parse`."""

from aiohttp.test_utils import make_mocked_request

from skylarkdoor.settings import Customer, Pool, Resolved, Tier
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
    resolved = Resolved(team, customer, settings, Tier(rank=1))
    target = Target("registry", POOL, path, True)
    return build_request(raw, resolved, target, body).fingerprint


class TestFingerprint:
    """What tells requests apart when one of them crashes upstreams."""

    def test_same(self) -> None:
        """The same call sent again has the same fingerprint."""
        assert fingerprint() == fingerprint()

    def test_other(self) -> None:
        """Calls that differ in anything are not suspected for each other."""
        calls = {
            fingerprint(),
            fingerprint(path="/packets/2"),
            fingerprint(method="DELETE"),
            fingerprint(body=b"{}"),
            fingerprint(customer="agenskalns-garden"),
            fingerprint(team="volunteers"),
        }
        assert len(calls) == 6
