"""The row by which a roll-out is coordinated, and orders across eras of the store."""

import pytest

from skylarkdoord.direct import OrderedVersion, Row, Rows, StoreVersion, Written
from skylarkdoord.direct.exceptions import ConflictError, RowError, StoreError
from skylarkdoord.direct.rollout_services._lease import LeaseRecord, RolloutLease
from skylarkdoord.direct.rollout_services._messages import (
    decision_from_wire,
    decision_to_wire,
    report_from_wire,
    report_to_wire,
)
from skylarkdoord.direct.rollout_services._orders import RolloutOrders
from skylarkdoord.direct.rollouts import (
    Cell,
    CellCounts,
    Decision,
    Phase,
    Report,
    RolloutOrder,
)

ORDER = RolloutOrder("desk", "v2", 12.0, StoreVersion(3, 5))
DECISION = Decision(ORDER, Phase.TRIAL, 0.05, 100.0, 1, 2, "ordered", ("v0",))


class StubStore:
    """One row that is written by compare-and-set."""

    def __init__(self):
        self.row = None
        self.version = 10
        self.loses_answer = False
        self.states_version = True

    async def read(self, table):
        """Return the row."""
        return Rows((self.row,) if self.row else (), self.version, 50.0)

    async def put_if(self, table, key, data, expected):
        """Write the row if it has the version."""
        if expected != (self.row.version if self.row else 0):
            raise ConflictError("conflict", self.row)
        self.version += 1
        self.row = Row(key, self.version, data)
        if self.loses_answer:
            self.loses_answer = False
            raise StoreError("lost")
        return Written(self.version if self.states_version else 0, 50.0)


@pytest.fixture
def store():
    """Return an empty store."""
    return StubStore()


@pytest.fixture
async def lease(store):
    """Return a lease that was read."""
    lease = RolloutLease("desk", store, "a/1")
    await lease.read()
    return lease


class TestLease:
    """`RolloutLease`."""

    async def test_write(self, lease):
        """A written decision is held, and read by others."""
        assert not lease.is_held
        assert await lease.write(DECISION, 60.0) == 50.0
        assert lease.is_held
        other = RolloutLease("desk", lease.store, "b/1")
        await other.read()
        assert other.record == LeaseRecord(DECISION, "a/1", 60.0)
        assert not other.is_held

    # Guards against two coordinators that both take themselves for the only one.
    async def test_conflict(self, lease, store):
        """Of two writers one fails and learns what the other wrote."""
        other = RolloutLease("desk", store, "b/1")
        await other.read()
        assert await other.write(DECISION._replace(term=2), 60.0)
        assert await lease.write(DECISION, 60.0) is None
        assert not lease.is_held
        assert lease.term == 2

    # Guards against a write over a row that is unknown after a lost answer.
    async def test_lost_answer(self, lease, store):
        """After a lost answer, the row is not held until it was read again."""
        store.loses_answer = True
        with pytest.raises(StoreError):
            await lease.write(DECISION, 60.0)
        assert not lease.is_held
        await lease.read()
        assert lease.is_held
        assert lease.record.decision == DECISION

    async def test_unknown_version(self, lease, store):
        """Without a stated version, this entry's own row is recognized."""
        store.states_version = False
        assert await lease.write(DECISION, 60.0)
        later = DECISION._replace(step=3)
        assert await lease.write(later, 61.0)
        assert LeaseRecord.decode(store.row.data).decision == later

    # Guards against a coordinator that goes on where an older copy lacks its row.
    async def test_older_copy(self, lease, store):
        """A row that the store lost is not held; it can be written again."""
        assert await lease.write(DECISION, 60.0)
        store.row, store.version = None, 3
        assert await lease.write(DECISION._replace(step=3), 61.0) is None
        assert not lease.is_held
        assert await lease.write(DECISION._replace(term=2), 61.0)

    @pytest.mark.parametrize(
        "data", [b"", b"[]", b"{}", b'{"order": 1}', b"\xff", b'{"order": {}}']
    )
    async def test_malformed(self, lease, store, data):
        """A malformed row counts as none and is replaced."""
        store.row = Row("desk", 4, data)
        await lease.read()
        assert lease.record is None
        assert await lease.write(DECISION, 60.0)


class TestMessages:
    """Messages between entries."""

    def test_decision(self):
        """A decision stays the same."""
        assert decision_from_wire(decision_to_wire(DECISION)) == DECISION

    def test_report(self):
        """A report stays the same."""
        cells = {Cell("r", True, False): CellCounts(3, 1, {4: 2})}
        report = Report(ORDER, 1, 2, 3, 4, cells, 5, 6)
        assert report_from_wire(report_to_wire(report)) == report

    @pytest.mark.parametrize(
        ("field", "value"), [("phase", "x"), ("share", 1.5), ("share", float("nan"))]
    )
    def test_malformed(self, field, value):
        """The error names the field."""
        message = decision_to_wire(DECISION)
        setattr(message, field, value)
        with pytest.raises(RowError, match=field):
            decision_from_wire(message)


class StubAdapter:
    """Rows whose contents are the version of the software."""

    def decode_rollout(self, key, data):
        """Return the order of a row."""
        if data == b"bad":
            raise RowError("to: expected a string")
        return OrderedVersion("desk", data.decode(), 12.0)


class TestOrders:
    """`RolloutOrders`."""

    @pytest.fixture
    def orders(self):
        """Return orders of a store in era 3."""
        return RolloutOrders(StubAdapter())

    def test_newer(self, orders):
        """The newer row replaces the older one, also with the same version."""
        first = orders.take_row(Row("rollout/desk", 5, b"v2", 3))
        assert first == ORDER
        assert orders.take_row(Row("rollout/desk", 5, b"v2", 3)) is None
        assert orders.take_row(Row("rollout/desk", 4, b"v1", 3)) is None
        again = orders.take_row(Row("rollout/desk", 8, b"v2", 3))
        assert again.ordered_at > first.ordered_at

    # Guards against an order that is carried out again as the store came back.
    def test_older_copy(self, orders):
        """Rows that an older copy brings back are no new orders."""
        orders.take_row(Row("rollout/desk", 5, b"v2", 3))
        orders.take_row(Row("rollout/desk", 9, b"v3", 3))
        assert orders.take_row(Row("rollout/desk", 5, b"v2", 4)) is None
        assert orders.take_row(Row("rollout/desk", 9, b"v3", 4)) is None
        assert orders.latest["desk"].version == "v3"

    def test_written_again(self, orders):
        """A row that is written after the copy is a new order."""
        orders.take_row(Row("rollout/desk", 9, b"v3", 3))
        order = orders.take_row(Row("rollout/desk", 6, b"v2", 4))
        assert order.version == "v2"

    def test_other_era(self, orders):
        """An order is known by the era in which it was decided upon."""
        orders.take_row(Row("rollout/desk", 5, b"v2", 4))
        orders.take(ORDER)
        assert orders.latest["desk"] == ORDER

    def test_malformed(self, orders):
        """A malformed row changes nothing."""
        orders.take_row(Row("rollout/desk", 5, b"v2", 3))
        assert orders.take_row(Row("rollout/desk", 6, b"bad", 3)) is None
        assert orders.take_row(Row("rollout/desk", 7, None, 3)) is None
        assert orders.latest["desk"] == ORDER
