"""Grouping of transactions that may share one commit.

The table makes all comparisons of a group before its writes and refuses a group
that writes a key twice, so no transaction of a group may write what another one
of it compares, reads or writes.
"""

from collections.abc import Iterator, Sequence

from skylarkdoor.clients._transactions import Txn

# The table takes at most 128 operations at a level, less those of the level above.
MAX_GROUP = 64


def group_txns(txns: Sequence[Txn]) -> Iterator[list[int]]:
    """Yield groups of indexes to be committed one after the other.

    Two transactions that touch the same key, one of them writing it, fall into
    different groups in the order given.
    """
    groups: list[list[int]] = []
    read_in: dict[str, int] = {}
    written_in: dict[str, int] = {}
    for index, txn in enumerate(txns):
        written = {write.key for write in txn.writes}
        read = {condition.key for condition in txn.conditions} | set(txn.reads)
        after = [written_in[key] for key in written | read if key in written_in]
        after += [read_in[key] for key in written if key in read_in]
        number = max(after, default=-1) + 1
        number = _place(groups, number, index)
        for key in written:
            written_in[key] = number
        for key in read:
            read_in[key] = max(number, read_in.get(key, number))
    yield from groups


def _place(groups: list[list[int]], number: int, index: int) -> int:
    while number < len(groups) and len(groups[number]) >= MAX_GROUP:
        number += 1
    if number == len(groups):
        groups.append([])
    groups[number].append(index)
    return number
