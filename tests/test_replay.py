"""Replays of the recorded traces, and errors of invalid ones."""

from pathlib import Path

import pytest

from skylarkdoor.exceptions import SettingsError
from skylarkdoor_bench.replay import ReplayFailedError, read_replay, replay_file

TRACES = sorted(Path(__file__).with_name("traces").glob("*.jsonl"))


def write_trace(directory: Path, *lines: str) -> Path:
    """Write a trace and return its path."""
    path = directory / "trace.jsonl"
    path.write_text("\n".join(lines))
    return path


class TestRecorded:
    """The traces under tests/traces."""

    @pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
    async def test_outcomes(self, path: Path, tmp_path: Path) -> None:
        """Every expectation of the trace and every invariant holds."""
        await replay_file(path, directory=tmp_path)


class TestRejected:
    """Traces that are malformed or whose expectations are not met."""

    async def test_unmet_expectation(self, tmp_path: Path) -> None:
        """The first expectation that is not met fails the replay, with its line."""
        path = write_trace(
            tmp_path,
            '{"cluster": {"engines": 1, "entries": 1}}',
            '{"request": {"name": "one", "arrival": {"at_s": 0.0, "kind": "chat", '
            '"customer": "teika-garden", "prompt_words": 3, "max_tokens": 4}}}',
            '{"ends": {"requests": "one", "outcomes": ["refused"]}}',
        )
        with pytest.raises(ReplayFailedError, match=r"trace\.jsonl:3: 1 ended wrongly"):
            await replay_file(path)

    def test_unknown_step(self, tmp_path: Path) -> None:
        """An unknown step is an error that gives the line number."""
        path = write_trace(tmp_path, '{"cluster": {}}', '{"explode": {}}')
        with pytest.raises(SettingsError, match=r"trace\.jsonl:2"):
            read_replay(path)

    def test_unknown_field(self, tmp_path: Path) -> None:
        """An unknown field of a step is an error."""
        path = write_trace(tmp_path, '{"pause": {"seconds": 1.0, "minutes": 1}}')
        with pytest.raises(SettingsError, match="minutes"):
            read_replay(path)

    def test_several_keys(self, tmp_path: Path) -> None:
        """A line that is not an object with exactly one key is an error."""
        path = write_trace(tmp_path, '{"pause": {"seconds": 1.0}, "mark": {}}')
        with pytest.raises(SettingsError, match="one key"):
            read_replay(path)
