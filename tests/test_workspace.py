"""The workspace's packages can be imported, and KNOWN-RED.txt is valid."""

import importlib
from pathlib import Path

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
        """A package can be imported and has a docstring."""
        assert importlib.import_module(name).__doc__


class TestKnownRed:
    """KNOWN-RED.txt, the list of known failing tests."""

    def test_entries(self):
        """Each entry has four parts and names an existing test."""
        root = Path(__file__).parent.parent
        for line in (root / "KNOWN-RED.txt").read_text().splitlines():
            if not line.strip() or line.startswith("#"):
                continue
            test, _, _, _ = line.split(" | ")
            path, *names = test.partition("[")[0].split("::")
            text = (root / path).read_text()
            if names[1:] == ["runTest"]:
                # Hypothesis generates a state machine's test; the module assigns it.
                assert f"\n{names[0]} = " in text
                continue
            assert all(f" {name}(" in text or f" {name}:" in text for name in names)
