"""The workspace's packages import cleanly."""

import importlib

import pytest


class TestPackages:
    """Every package of the workspace."""

    @pytest.mark.parametrize(
        "name",
        [
            "skylarkdoor",
            "skylarkdoor_bench",
            "skylarkdoor_client",
            "skylarkdoor_standins",
            "skylarkdoord",
        ],
    )
    def test_imports(self, name: str):
        """A package imports without side effects."""
        assert importlib.import_module(name).__doc__
