"""Grouping of transactions that can be committed in one request.

The table evaluates all comparisons of a group before its writes and rejects a group
that writes a key twice. Therefore no transaction of a group may write a key that
another one of the group compares, reads or writes.
"""

from collections.abc import Iterator, Sequence

from skylarkdoor.clients._transactions import Txn

# The table accepts at most 128 operations at one level of nesting, minus the number
# of operations at the level above.
MAX_GROUP_TXNS = 64


def group_txns(txns: Sequence[Txn]) -> Iterator[list[int]]:
    """Yield groups of transaction indexes, to be committed in this order.

    Transactions conflict if one of them writes a key that the other one reads or
    writes. Conflicting transactions are placed in different groups, in their order.
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
        number = _add_to_group(groups, number, index)
        for key in written:
            written_in[key] = number
        for key in read:
            read_in[key] = max(number, read_in.get(key, number))
    yield from groups


def _add_to_group(groups: list[list[int]], number: int, index: int) -> int:
    while number < len(groups) and len(groups[number]) >= MAX_GROUP_TXNS:
        number += 1
    if number == len(groups):
        groups.append([])
    groups[number].append(index)
    return number
