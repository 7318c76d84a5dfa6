"""Tests of the grouping of transactions into commits."""

from hypothesis import given
from hypothesis import strategies as st

from skylarkdoor.clients._grouping import MAX_GROUP_TXNS, group_txns
from skylarkdoor.clients._transactions import Absent, Put, Txn

KEYS = st.lists(st.sampled_from("abcdef"), unique=True, max_size=3)
TXNS = st.lists(
    st.builds(
        lambda read, written: Txn(
            conditions=tuple(Absent(key) for key in read),
            writes=tuple(Put(key, b"") for key in written),
        ),
        KEYS,
        KEYS,
    ),
    max_size=100,
)


def conflict(first: Txn, second: Txn) -> bool:
    """Return whether one transaction writes a key that the other one uses."""
    written = [{write.key for write in txn.writes} for txn in (first, second)]
    read = [{item.key for item in txn.conditions} for txn in (first, second)]
    return bool(written[0] & (written[1] | read[1]) or written[1] & read[0])


class TestGroupTxns:
    """`group_txns`."""

    @given(TXNS)
    def test_order_of_conflicts(self, txns):
        """Conflicting transactions are placed in different groups, in their order."""
        groups = list(group_txns(txns))
        position = {index: at for at, group in enumerate(groups) for index in group}
        assert sorted(position) == list(range(len(txns)))
        for later in range(len(txns)):
            for earlier in range(later):
                if conflict(txns[earlier], txns[later]):
                    assert position[earlier] < position[later]

    @given(TXNS)
    def test_size(self, txns):
        """No group is larger than the table accepts."""
        assert all(len(group) <= MAX_GROUP_TXNS for group in group_txns(txns))
