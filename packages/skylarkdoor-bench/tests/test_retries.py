"""Tests of the sums of retries over all entries."""

import json

from click.testing import CliRunner

from skylarkdoor_bench._retries import Second, worst_windows
from skylarkdoor_bench.cli import main


def write_log(path, records):
    """Write the lines of one entry's log."""
    lines = []
    for second, service, counts in records:
        fields = dict(zip(Second._fields, counts, strict=True))
        fields |= {"event_name": "retries_counted", "service": service}
        fields["timestamp"] = f"2026-12-05T04:00:{second:02d}.5+00:00"
        lines.append(json.dumps(fields))
    path.write_text("\n".join(["no JSON", *lines]))
    return path


class TestWorstWindows:
    """`worst_windows`."""

    def test_sums_entries(self, tmp_path):
        """Counts of all entries are added; the most that waited is kept."""
        logs = [
            write_log(tmp_path / "a", [(1, "desk", (10, 3, 2, 1))]),
            write_log(tmp_path / "b", [(2, "desk", (10, 4, 3, 5))]),
            write_log(tmp_path / "c", [(40, "desk", (10, 4, 4, 0))]),
        ]
        (window,) = worst_windows(logs, window_s=10)
        assert window.counts == Second(requests=20, approved=7, sent=5, waiting=5)

    def test_command(self, tmp_path):
        """The command prints a line for each service."""
        log = write_log(tmp_path / "a", [(1, "desk", (10, 3, 2, 1))])
        shown = CliRunner().invoke(main, ["retries", str(log), "--window-s", "10"])
        assert shown.exit_code == 0
        assert "desk: 2 retries sent, 3 approved, 1 waiting, 10 requests" in (
            shown.output
        )
