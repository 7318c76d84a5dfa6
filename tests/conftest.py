"""Fixtures of the tests that run whole deployments."""

from skylarkdoor_bench.testing import start_cluster

__all__ = ["start_cluster"]
