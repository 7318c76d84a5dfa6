"""Clients of the platform: table, object store, instance list, weight store."""

from ._instances import InstanceList, InstanceRecord
from ._objects import ObjectStore
from ._table import EtcdTable
from ._transactions import (
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
from ._weights import WeightStore
from .exceptions import (
    ListUnavailable,
    ObjectAbsent,
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
    "ObjectStore",
    "ObjectsUnavailable",
    "PlatformError",
    "Put",
    "RevisionIs",
    "Row",
    "RowList",
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
