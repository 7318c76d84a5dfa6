"""The row of the store that says who coordinates a roll-out, and what was decided.

It is written only on condition of its version, so that of two entries that take
themselves for the coordinator one learns of the other.
"""

import json
import math
from typing import Any, NamedTuple

from skylarkdoor import untrusted_json
from skylarkdoord.direct._adapter import Row, Store, StoreVersion
from skylarkdoord.direct.exceptions import ConflictError, RowError, StoreError
from skylarkdoord.direct.rollout_services._messages import phase_of, share_of
from skylarkdoord.direct.rollouts import Decision, RolloutOrder

ROLLOUTS = "rollouts"
# Time for which a coordinator keeps a roll-out without a write, in seconds. A lost
# coordinator has to be replaced within 3 s.
LEASE_S = 2.5
# Interval of the writes that renew a lease; two of them may fail.
RENEW_INTERVAL_S = 0.8


class LeaseRecord(NamedTuple):
    """Contents of the row.

    Attributes:
        decision: The decision in force.
        holder: Coordinator, with its incarnation.
        until_s: Time by the store's clock until which it coordinates, in seconds.
    """

    decision: Decision
    holder: str
    until_s: float

    def encode(self) -> bytes:
        """Return the contents as they are written."""
        decision = self.decision
        order = decision.order
        return json.dumps(
            {
                "order": {
                    "service": order.service,
                    "version": order.version,
                    "duration_s": order.duration_s,
                    "era": order.ordered_at.era,
                    "number": order.ordered_at.number,
                },
                "phase": decision.phase.value,
                "share": decision.share,
                "started_s": decision.started_s,
                "term": decision.term,
                "step": decision.step,
                "reason": decision.reason,
                "withheld": decision.withheld,
                "holder": self.holder,
                "until_s": self.until_s,
            }
        ).encode()

    @classmethod
    def decode(cls, data: bytes) -> "LeaseRecord":
        """Return the record that a row contains.

        Raises:
            RowError: A field is missing or malformed.
        """
        try:
            fields = untrusted_json.loads(data)
            return cls._of(fields)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise RowError(f"expected the record of a roll-out: {error!r}") from None

    @classmethod
    def _of(cls, fields: dict[str, Any]) -> "LeaseRecord":
        order = fields["order"]
        decision = Decision(
            order=RolloutOrder(
                service=str(order["service"]),
                version=str(order["version"]),
                duration_s=_finite(order["duration_s"]),
                ordered_at=StoreVersion(int(order["era"]), int(order["number"])),
            ),
            phase=phase_of(fields["phase"]),
            share=share_of(_finite(fields["share"])),
            started_s=_finite(fields["started_s"]),
            term=int(fields["term"]),
            step=int(fields["step"]),
            reason=str(fields["reason"]),
            withheld=tuple(map(str, fields["withheld"])),
        )
        return cls(decision, str(fields["holder"]), _finite(fields["until_s"]))


def _finite(value: object) -> float:
    """Return a finite number.

    Raises:
        ValueError: It is none.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {value!r}")
    if not math.isfinite(value):
        raise ValueError(f"expected a finite number, got {value!r}")
    return float(value)


class RolloutLease:
    """The row of one service, as this entry last read or wrote it.

    Args:
        service: The service, which is the row's key.
        store: The platform's store.
        holder: Name of this entry, with its incarnation.

    Attributes:
        record: Contents of the row; None if there is none.
        version: Version of the row; 0 if there is none.
        is_current: Whether nothing suggests that the row differs. It may differ after a
            write without an answer and after the store came back from an older copy.
    """

    def __init__(self, service: str, store: Store, holder: str) -> None:
        self.service = service
        self.store = store
        self.holder = holder
        self.record: LeaseRecord | None = None
        self.version = 0
        self.is_current = False

    @property
    def is_held(self) -> bool:
        """Whether this entry coordinates, as far as it knows."""
        return (
            self.is_current
            and self.record is not None
            and self.record.holder == self.holder
        )

    @property
    def term(self) -> int:
        """Fencing number in the row; 0 if there is none."""
        return self.record.decision.term if self.record else 0

    async def read(self) -> float:
        """Read the row; return the store's clock, in seconds.

        Raises:
            StoreError: The store did not answer.
        """
        rows = await self.store.read(ROLLOUTS)
        row = next((row for row in rows.rows if row.key == self.service), None)
        self.take(row)
        return rows.clock_s

    def take(self, row: Row | None) -> None:
        """Take over the row that the store has; a malformed one counts as none."""
        self.version = row.version if row else 0
        self.record = None
        if row is not None and row.data is not None:
            try:
                self.record = LeaseRecord.decode(row.data)
            except RowError:
                # The next write replaces it.
                self.record = None
        self.is_current = True

    async def write(self, decision: Decision, until_s: float) -> float | None:
        """Write a decision and renew the lease; return the store's clock, in seconds.

        Returns None if the row has changed; then it was taken over.

        Raises:
            StoreError: The store did not acknowledge the write; the row has to be read
                before the next one.
        """
        record = LeaseRecord(decision, self.holder, until_s)
        data = record.encode()
        former = self.record.encode() if self.record else None
        for _ in range(2):
            try:
                written = await self.store.put_if(
                    ROLLOUTS, self.service, data, self.version
                )
            except ConflictError as error:
                is_own = error.row is not None and error.row.data == former
                self.take(error.row)
                if not is_own:
                    return None
                # Only the version was unknown; see `Written`.
                continue
            except StoreError:
                self.is_current = False
                raise
            self.record, self.version, self.is_current = record, written.version, True
            return written.clock_s
        return None
