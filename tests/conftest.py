"""Whole deployments for the tests of this folder."""

from skylarkdoor_bench.testing import start_cluster

__all__ = ["start_cluster"]
