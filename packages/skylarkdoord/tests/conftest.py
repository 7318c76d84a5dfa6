"""Fixtures of the daemon's tests."""

from skylarkdoor_bench.testing import start_cluster

__all__ = ["start_cluster"]
