"""Tests of the command line of the development tools."""

import asyncio
import os
import signal

from skylarkdoor_bench._demo import DemoFailedError
from skylarkdoor_bench.cli import EXIT_FAILED, EXIT_OK, run_tool


class TestRunTool:
    """Tests of `run_tool`."""

    def test_success(self):
        """A tool that succeeds has exit status 0."""
        assert run_tool(asyncio.sleep(0)) == EXIT_OK

    def test_failure(self, capsys):
        """One or several errors are printed without a traceback."""

        async def fail() -> None:
            errors = [DemoFailedError("first"), DemoFailedError("second")]
            raise ExceptionGroup("several", errors)

        assert run_tool(fail()) == EXIT_FAILED
        assert capsys.readouterr().err == "failed: first\nfailed: second\n"

    def test_signal(self, capsys):
        """A signal cancels the tool, which cleans up before it ends."""
        cleaned = []

        async def wait() -> None:
            os.kill(os.getpid(), signal.SIGTERM)
            try:
                await asyncio.Event().wait()
            finally:
                cleaned.append(True)

        assert run_tool(wait()) == EXIT_OK
        assert cleaned == [True]
        assert capsys.readouterr().out == "stopped\n"
