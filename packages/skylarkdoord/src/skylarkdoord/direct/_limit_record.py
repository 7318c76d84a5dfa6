"""The record of customers' use within a window, as written to the store."""

import json
from collections.abc import Mapping
from typing import NamedTuple

from skylarkdoor import untrusted_json

# Customers that used a smaller share of their limit are not recorded.
MIN_RECORDED_SHARE = 0.1
# Most customers in one record, which has to fit into a row; those with the highest
# shares are kept.
MAX_CUSTOMERS = 500


class LimitRecord(NamedTuple):
    """Units that customers used within one window.

    Attributes:
        at_s: Time of the record by the store's monotonic clock, in seconds.
        used: Units used within the window that ended then, by customer.
        recent: Those of them that were used in the second half of the window.
    """

    at_s: float
    used: dict[str, float]
    recent: dict[str, float]

    def encode(self) -> bytes:
        """Return the contents of the record's row."""
        # Without the names, which would take more space than the numbers.
        recent = [self.recent[name] for name in self.used]
        fields = {"at_s": self.at_s, "used": self.used, "recent": recent}
        return json.dumps(fields).encode()

    @classmethod
    def decode(cls, data: bytes) -> "LimitRecord":
        """Return the record in a row.

        A record of a former build lacks the field `recent`: all its use counts as
        recent, which keeps it in the window for longer.

        Raises:
            ValueError: The contents are malformed.
        """
        fields = untrusted_json.decode(
            data, type_=dict[str, float | dict[str, float] | list[float]]
        )
        at_s, used = fields.get("at_s"), fields.get("used")
        if not isinstance(at_s, float) or not isinstance(used, dict):
            raise ValueError("expected the fields at_s and used")
        recent = fields.get("recent", list(used.values()))
        if not isinstance(recent, list) or len(recent) != len(used):
            raise ValueError("expected in recent a number for each customer in used")
        return cls(at_s, used, dict(zip(used, recent, strict=True)))


def most_used(
    totals: Mapping[str, float], limits: Mapping[str, float]
) -> dict[str, float]:
    """Return the use of the customers that used the highest shares of their limits."""
    shares = {name: totals[name] / limit for name, limit in limits.items() if limit}
    most = sorted(shares, key=shares.__getitem__, reverse=True)[:MAX_CUSTOMERS]
    return {name: totals[name] for name in most if shares[name] >= MIN_RECORDED_SHARE}
