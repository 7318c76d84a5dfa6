"""Tests of the demo."""

import pytest

from skylarkdoor_bench._demo import DemoFailedError, run_demo


class TestRunDemo:
    """Tests of `run_demo`."""

    async def test_success(self, tmp_path):
        """The demo gets the expected answers and prints their spans."""
        lines = []
        await run_demo(keep=False, directory=tmp_path, echo=lines.append)
        assert lines[-1].strip() == "all answers are complete and correct"
        assert any("span upstream at sidecar-registry-1" in line for line in lines)

    async def test_wrong_answer(self, tmp_path, monkeypatch):
        """An unexpected answer fails the demo."""
        monkeypatch.setattr(
            "skylarkdoor_bench._demo.expected_text", lambda prompt, tokens: "other"
        )
        with pytest.raises(DemoFailedError, match="other"):
            await run_demo(keep=False, directory=tmp_path, echo=lambda line: None)
