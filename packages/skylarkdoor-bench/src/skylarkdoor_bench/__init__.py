"""Launcher, demo, load generator and measurement tools for skylarkdoor."""

from skylarkdoor_bench._caller import Caller, CutStreamError
from skylarkdoor_bench._deployments import (
    OPERATOR_TOKEN,
    Deployment,
    EngineSpec,
    EntrySpec,
    ServiceSpec,
    api_key,
    lime_trust,
    seed_exchange,
    small_demo,
)
from skylarkdoor_bench._launcher import Cluster
from skylarkdoor_bench._logs import Span, read_spans
from skylarkdoor_bench._operator import Operator, OperatorAnswer
from skylarkdoor_bench._processes import ManagedProcess, ProcessFailedError

__all__ = [
    "OPERATOR_TOKEN",
    "Caller",
    "Cluster",
    "CutStreamError",
    "Deployment",
    "EngineSpec",
    "EntrySpec",
    "ManagedProcess",
    "Operator",
    "OperatorAnswer",
    "ProcessFailedError",
    "ServiceSpec",
    "Span",
    "api_key",
    "lime_trust",
    "read_spans",
    "seed_exchange",
    "small_demo",
]
