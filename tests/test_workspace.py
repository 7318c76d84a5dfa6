"""The workspace's packages import cleanly."""

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
        """A package imports without side effects."""
        assert importlib.import_module(name).__doc__


class TestKnownRed:
    """KNOWN-RED.txt."""

    def test_names_tests(self):
        """Each entry names a test that exists, with its four parts."""
        root = Path(__file__).parent.parent
        for line in (root / "KNOWN-RED.txt").read_text().splitlines():
            if not line.strip() or line.startswith("#"):
                continue
            test, _, _, _ = line.split(" | ")
            path, *names = test.partition("[")[0].split("::")
            text = (root / path).read_text()
            if names[1:] == ["runTest"]:
                # The library makes a state machine's test; only its name is written.
                assert f"\n{names[0]} = " in text
                continue
            assert all(f" {name}(" in text or f" {name}:" in text for name in names)
