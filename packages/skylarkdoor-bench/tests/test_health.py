"""Tests of finding faults in the logs of daemons."""

import json
from pathlib import Path

from skylarkdoor_bench._health import log_faults

TRACEBACK = "Traceback (most recent call last):\n  File x\nValueError: no"


def write(directory: Path, *lines: str) -> Path:
    """Write a log and return its path."""
    path = directory / "daemon.log"
    path.write_text("\n".join(lines))
    return path


class TestLogFaults:
    """Violated invariants and tracebacks in a log."""

    def test_clean(self, tmp_path: Path) -> None:
        """Events, spans and plain text are no faults."""
        path = write(tmp_path, json.dumps({"event_name": "span_ended"}), "text")
        assert list(log_faults(path)) == []

    def test_traceback(self, tmp_path: Path) -> None:
        """A traceback, plain or in a record, is reported by its last line."""
        path = write(tmp_path, TRACEBACK, json.dumps({"exc_info": TRACEBACK}))
        assert list(log_faults(path)) == ["traceback: ValueError: no"] * 2

    def test_broken_invariant(self, tmp_path: Path) -> None:
        """A violated invariant is reported by its name."""
        record = {"event_name": "invariant_broken", "invariant": "tiers_in_order"}
        path = write(tmp_path, json.dumps(record))
        assert list(log_faults(path)) == ["violated invariant: tiers_in_order"]
