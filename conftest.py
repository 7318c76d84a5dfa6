"""Pytest hooks that deselect the tests listed in KNOWN-RED.txt and print them."""

from pathlib import Path

import pytest
from hypothesis import settings

# Hypothesis fails an example that takes too long. On a busy machine that says
# nothing about the code, so the deadline is off.
settings.register_profile("no_deadline", deadline=None)
settings.load_profile("no_deadline")

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
SEPARATOR = " | "


def read_known_red(path: Path) -> dict[str, str]:
    """Return the recorded details of each listed test, by test id.

    Each line reads `test id | command and seed | what was seen | issue`. Empty
    lines and lines that begin with `#` are ignored.
    """
    listed = {}
    if path.exists():
        for line in path.read_text().splitlines():
            if line.strip() and not line.startswith("#"):
                test, _, seen = line.partition(SEPARATOR)
                listed[test.strip()] = seen.strip()
    return listed


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the tests listed in KNOWN-RED.txt."""
    listed = read_known_red(KNOWN_RED)
    known = [item for item in items if item.nodeid in listed]
    if known:
        config.hook.pytest_deselected(items=known)
        items[:] = [item for item in items if item not in known]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print each listed test with its recorded details."""
    for test, seen in read_known_red(KNOWN_RED).items():
        terminalreporter.write_line(f"KNOWN RED {test}: {seen}")
