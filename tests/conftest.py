"""Fixtures of tests that run whole deployments as processes."""

from skylarkdoor_bench.testing import start_cluster

__all__ = ["start_cluster"]
