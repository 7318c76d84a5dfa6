"""Fixtures of the tests of the bench."""

from skylarkdoor_bench.testing import start_cluster

__all__ = ["start_cluster"]
