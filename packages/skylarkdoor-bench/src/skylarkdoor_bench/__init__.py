"""Launcher, demo, load and measurement tools for skylarkdoor."""

from skylarkdoor_bench._deployments import (
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
from skylarkdoor_bench._processes import ManagedProcess, ProcessFailedError

__all__ = [
    "Cluster",
    "Deployment",
    "EngineSpec",
    "EntrySpec",
    "ManagedProcess",
    "ProcessFailedError",
    "ServiceSpec",
    "Span",
    "api_key",
    "lime_trust",
    "read_spans",
    "seed_exchange",
    "small_demo",
]
