"""Fixtures of the tests that run complete deployments."""

from skylarkdoor_bench.testing import start_cluster

__all__ = ["start_cluster"]
