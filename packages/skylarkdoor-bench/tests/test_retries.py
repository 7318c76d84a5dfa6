"""Tests of the sums of retries over all entries."""

import json

from click.testing import CliRunner

from skylarkdoor_bench._retries import Second, worst_windows
from skylarkdoor_bench.cli import main


def line(second, event_name, **fields):
    """Return a line of an entry's log."""
    fields |= {"event_name": event_name, "service": "desk"}
    return json.dumps(fields | {"timestamp": f"2026-12-05T04:00:{second:02d}.5+00:00"})


def write_log(path, second, requests, approved, sent, waiting):
    """Write the log of one entry, which counts one second."""
    counts = {"requests": requests, "approved": approved, "waiting": waiting}
    lines = [line(second, "retry_sent") for _ in range(sent)]
    lines.append(line(second, "retry_sent", allowed=False))
    lines.append(line(second, "retries_counted", **counts, sent=sent))
    path.write_text("\n".join(["no JSON", *lines]))
    return path


class TestWorstWindows:
    """`worst_windows`."""

    def test_sums_entries(self, tmp_path):
        """Counts of all entries are added; the most that waited is kept."""
        logs = [
            write_log(tmp_path / "a", 1, 10, 3, 2, 1),
            write_log(tmp_path / "b", 2, 10, 4, 3, 5),
            write_log(tmp_path / "c", 40, 10, 4, 4, 0),
        ]
        (window,) = worst_windows(logs, window_s=10)
        assert window.counts == Second(requests=20, approved=7, sent=5, waiting=5)

    # Guards against the retries of a killed entry that are missing in the sum.
    def test_killed(self, tmp_path):
        """Retries count although their entry ended before it logged its counts."""
        log = tmp_path / "a"
        log.write_text("\n".join(line(1, "retry_sent") for _ in range(7)))
        (window,) = worst_windows([log], window_s=10)
        assert window.counts.sent == 7

    def test_command(self, tmp_path):
        """The command prints a line for each service."""
        log = write_log(tmp_path / "a", 1, 10, 3, 2, 1)
        shown = CliRunner().invoke(main, ["retries", str(log), "--window-s", "10"])
        assert shown.exit_code == 0
        assert "desk: 2 retries sent, 3 approved, 1 waiting, 10 requests" in (
            shown.output
        )
