"""Clients of the platform: table, object store, instance list, weight store."""

from skylarkdoor.platform._instances import InstanceList, InstanceRecord
from skylarkdoor.platform._objects import ObjectStore, StoredObject
from skylarkdoor.platform._table import EtcdTable
from skylarkdoor.platform._transactions import (
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
from skylarkdoor.platform._weights import WeightStore
from skylarkdoor.platform.exceptions import (
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
