"""Tests of `skylarkdoor story`."""

import json

import pytest
from click.testing import CliRunner

from skylarkdoor_client.cli import main
from skylarkdoor_client.exceptions import ExitCode


def line(timestamp, event, request_id="r1", **fields):
    """Return a log line of a request."""
    record = {
        "timestamp": timestamp,
        "instance": "entry-1",
        "event_name": event,
        "event": 1,
        "level": "INFO",
        "message": "Text.",
        "part": "skylarkdoor.x",
        "request_id": request_id,
    }
    return json.dumps(record | fields) + "\n"


@pytest.fixture
def logs(tmp_path):
    """Return the paths of the logs of two processes."""
    one, two = tmp_path / "one.log", tmp_path / "two.log"
    one.write_text(
        line("2026-01-01T00:00:03", "answered", status=200)
        + "no JSON about r1\n"
        + line("2026-01-01T00:00:01", "queued", waiting=2)
    )
    two.write_text(
        "  12.5 side-1 "
        + line("2026-01-01T00:00:02", "granted")
        + line("2026-01-01T00:00:02", "other", request_id="r11")
    )
    return [str(one), str(two)]


class TestStory:
    """`story`."""

    def test_order(self, logs):
        """Lines of all files are printed in order of time, with their fields."""
        result = CliRunner().invoke(main, ["story", "r1", *logs])
        assert result.exit_code == 0
        assert result.output.splitlines() == [
            "2026-01-01T00:00:01 entry-1 queued waiting=2",
            "2026-01-01T00:00:02 entry-1 granted",
            "2026-01-01T00:00:03 entry-1 answered status=200",
        ]

    def test_standard_input(self):
        """Without files, standard input is read."""
        text = line("2026-01-01T00:00:01", "queued")
        result = CliRunner().invoke(main, ["story", "r1"], input=text)
        assert result.output == "2026-01-01T00:00:01 entry-1 queued\n"

    def test_json(self, logs):
        """The JSON output contains the same lines."""
        result = CliRunner().invoke(main, ["--json", "story", "r1", *logs])
        events = [found["event"] for found in json.loads(result.output)]
        assert events == ["queued", "granted", "answered"]

    def test_absent(self, logs):
        """A request without log lines gives the exit status for absent."""
        result = CliRunner().invoke(main, ["story", "r9", *logs])
        assert result.exit_code == ExitCode.ABSENT
        assert result.output == "no log line found for request r9\n"
