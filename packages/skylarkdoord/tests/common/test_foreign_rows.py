"""Tests of rows that another program wrote under a name of the product's own."""

import pytest

from skylarkdoor.exceptions import SettingsError
from skylarkdoord.common import _snapshot
from skylarkdoord.common._rows import decode_history, decode_settings
from skylarkdoord.direct._limit_record import LimitRecord
from skylarkdoord.direct.evidence._suspect_records import decode as decode_suspicions
from skylarkdoord.direct.exceptions import RowError
from skylarkdoord.direct.rollout_services._lease import LeaseRecord
from skylarkdoord.exceptions import ClaimRowError
from skylarkdoord.planner._rows import decode_lease, decode_plan
from skylarkdoord.planner.exceptions import PlannerRowError
from skylarkdoord.sidecar import _claim_rows, _suspect_rows
from skylarkdoord.sidecar._suspect_rows import SuspectRowError

DECODERS = {
    "settings": (lambda data: decode_settings(data, subtree="a"), SettingsError),
    "history": (lambda data: decode_history(data, subtree="a"), SettingsError),
    "lease": (decode_lease, PlannerRowError),
    "plan": (decode_plan, PlannerRowError),
    "claim": (_claim_rows.decode, ClaimRowError),
    "suspect": (_suspect_rows.decode, SuspectRowError),
    "roll-out": (LeaseRecord.decode, RowError),
    "limits": (LimitRecord.decode, ValueError),
    "suspicions": (decode_suspicions, ValueError),
}
ODD = {
    "deep": b"[" * 100_000,
    "deep field": b'{"a":' * 100_000,
    "constant": b'{"epoch": Infinity}',
    "large": b'{"epoch": 1e999}',
    "no JSON": b"\xff\xfe{",
}


@pytest.mark.parametrize("data", ODD.values(), ids=ODD)
class TestForeignRows:
    """Rows that nest too deeply, hold odd numbers or are no JSON."""

    # Guards against a row of another writer that ends the process that reads it.
    @pytest.mark.parametrize(("decode", "error"), DECODERS.values(), ids=DECODERS)
    def test_is_rejected(self, decode, error, data):
        """Each decoder rejects it with its own error."""
        with pytest.raises(error):
            decode(data)

    def test_snapshot(self, data):
        """A snapshot of settings reads as an empty one, with the reason."""
        read = _snapshot.decode(data)
        assert not read.rows
        assert read.rejected
