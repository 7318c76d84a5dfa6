"""Clients of the platform's table, object store, instance list and weight store."""

from skylarkdoor.clients._instances import InstanceList, InstanceRecord
from skylarkdoor.clients._objects import ObjectStore, StoredObject
from skylarkdoor.clients._table import EtcdTable
from skylarkdoor.clients._transactions import (
    Absent,
    Condition,
    Delete,
    Put,
    RevisionIs,
    Row,
    RowList,
    Table,
    Txn,
    TxnResult,
    ValueIs,
)
from skylarkdoor.clients._weights import WeightStore
from skylarkdoor.clients.exceptions import (
    ListUnavailable,
    ObjectAbsent,
    ObjectChanged,
    ObjectsUnavailable,
    PlatformError,
    TableRejected,
    TableTimeout,
    TableUnavailable,
    WeightsAbsent,
    WeightsLimited,
    WeightsUnavailable,
)

__all__ = [
    "Absent",
    "Condition",
    "Delete",
    "EtcdTable",
    "InstanceList",
    "InstanceRecord",
    "ListUnavailable",
    "ObjectAbsent",
    "ObjectChanged",
    "ObjectStore",
    "ObjectsUnavailable",
    "PlatformError",
    "Put",
    "RevisionIs",
    "Row",
    "RowList",
    "StoredObject",
    "Table",
    "TableRejected",
    "TableTimeout",
    "TableUnavailable",
    "Txn",
    "TxnResult",
    "ValueIs",
    "WeightStore",
    "WeightsAbsent",
    "WeightsLimited",
    "WeightsUnavailable",
]
