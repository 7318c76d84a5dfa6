"""Tests of what a request has in common with others."""

import pytest

from skylarkdoord.direct import PromptPart
from skylarkdoord.direct.evidence._suspect_keys import (
    MAX_NAME_LENGTH,
    MAX_SHARED_PARTS,
    fingerprint_of,
    shared_parts,
)

from ._make import make_admitted, make_customer, make_request


class TestFingerprint:
    """`fingerprint_of`."""

    def test_repeat(self):
        """A repeat has the same fingerprint, whatever its request id."""
        repeat = make_request(request_id="r2")
        assert fingerprint_of(make_admitted(repeat)) == fingerprint_of(make_admitted())

    @pytest.mark.parametrize(
        "changes", [{"body": b"other"}, {"target": "/notes/2"}, {"method": "PUT"}]
    )
    def test_other(self, changes):
        """Requests that differ in method, target or body have other fingerprints."""
        other = make_request(**changes)
        assert fingerprint_of(make_admitted(other)) != fingerprint_of(make_admitted())

    def test_customer(self):
        """Equal requests of different customers have different fingerprints."""
        other = make_admitted(customer=make_customer())
        assert fingerprint_of(other) != fingerprint_of(make_admitted())


def parts_of(*identities, **changes):
    """Return the shared parts of a request whose prompt has these parts."""
    prefix = tuple(PromptPart(identity, 60) for identity in identities)
    admitted = make_admitted(make_request(prefix=prefix))
    return shared_parts(admitted._replace(**changes))


class TestSharedParts:
    """`shared_parts`."""

    def test_last(self):
        """All parts but the last are shared, each once."""
        names = [part.name for part in parts_of("a", "b", "a", "own")]
        assert names == ["a", "b"]

    @pytest.mark.parametrize("identities", [(), ("own",)])
    def test_none(self, identities):
        """A request without a prompt, or with a part of its own only, shares none."""
        assert parts_of(*identities) == ()

    def test_service(self):
        """The same part of another service has another fingerprint."""
        (part,), (other,) = parts_of("a", "own"), parts_of("a", "own", service="other")
        assert part.fingerprint != other.fingerprint

    def test_bounded(self):
        """Neither many nor long parts take more than a bounded memory."""
        parts = parts_of(*(f"{number}" * 99 for number in range(999)))
        assert len(parts) == MAX_SHARED_PARTS
        assert max(len(part.name) for part in parts) == MAX_NAME_LENGTH
