"""Fixtures of the launcher's own tests."""

from skylarkdoor_bench.testing import start_cluster

__all__ = ["start_cluster"]
