"""Faults found in the logs of daemons."""

import json
from pathlib import Path

from skylarkdoor_bench._health import log_faults

TRACEBACK = "Traceback (most recent call last):\n  File x\nValueError: no"


def write(directory: Path, *lines: str) -> Path:
    """Write a log."""
    path = directory / "daemon.log"
    path.write_text("\n".join(lines))
    return path


class TestLogFaults:
    """Breaches and tracebacks of a log."""

    def test_clean(self, tmp_path: Path) -> None:
        """Events and spans are no faults."""
        path = write(tmp_path, json.dumps({"event_name": "span_ended"}), "text")
        assert list(log_faults(path)) == []

    def test_traceback(self, tmp_path: Path) -> None:
        """A traceback is told by its last line, plain or inside a record."""
        path = write(tmp_path, TRACEBACK, json.dumps({"exc_info": TRACEBACK}))
        assert list(log_faults(path)) == ["a traceback: ValueError: no"] * 2

    def test_broken_invariant(self, tmp_path: Path) -> None:
        """A broken invariant is told by its name."""
        record = {"event_name": "invariant_broken", "invariant": "tiers_in_order"}
        path = write(tmp_path, json.dumps(record))
        assert list(log_faults(path)) == ["a broken invariant: tiers_in_order"]
