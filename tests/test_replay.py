"""Recorded traces end as they state."""

from pathlib import Path

import pytest

from skylarkdoor.exceptions import SettingsError
from skylarkdoor_bench.replay import ReplayFailedError, read_replay, replay_file

TRACES = sorted(Path(__file__).with_name("traces").glob("*.jsonl"))


def write(directory: Path, *lines: str) -> Path:
    """Write a trace and return its path."""
    path = directory / "trace.jsonl"
    path.write_text("\n".join(lines))
    return path


class TestRecorded:
    """The traces under tests/traces."""

    @pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
    async def test_outcomes(self, path: Path, tmp_path: Path) -> None:
        """Every statement of the trace and every promise holds."""
        await replay_file(path, directory=tmp_path)


class TestVerdict:
    """What a replay makes of a trace that does not hold."""

    async def test_false_statement(self, tmp_path: Path) -> None:
        """The first statement that does not hold fails it, with its line."""
        path = write(
            tmp_path,
            '{"cluster": {"engines": 1, "entries": 1}}',
            '{"request": {"name": "one", "arrival": {"at_s": 0.0, "kind": "chat", '
            '"customer": "teika-garden", "prompt_words": 3, "max_tokens": 4}}}',
            '{"ends": {"requests": "one", "outcomes": ["refused"]}}',
        )
        with pytest.raises(ReplayFailedError, match=r"trace\.jsonl:3: 1 ended wrongly"):
            await replay_file(path)

    def test_unknown_step(self, tmp_path: Path) -> None:
        """A line that is no step is an error with its number."""
        path = write(tmp_path, '{"cluster": {}}', '{"explode": {}}')
        with pytest.raises(SettingsError, match=r"trace\.jsonl:2"):
            read_replay(path)

    def test_unknown_field(self, tmp_path: Path) -> None:
        """A field that a step does not have is an error."""
        path = write(tmp_path, '{"pause": {"seconds": 1.0, "minutes": 1}}')
        with pytest.raises(SettingsError, match="minutes"):
            read_replay(path)

    def test_no_object(self, tmp_path: Path) -> None:
        """A line that is not an object with one key is an error."""
        path = write(tmp_path, '{"pause": {"seconds": 1.0}, "mark": {}}')
        with pytest.raises(SettingsError, match="one key"):
            read_replay(path)
