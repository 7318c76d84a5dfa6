"""Signals in the first moments of a process."""

import asyncio
import signal
import sys

import pytest

# Signals itself between the start and the loading of the modules.
EARLY = """
import os, signal, sys
from skylarkdoord import _start
import builtins
load = builtins.__import__
def signalling(name, *rest):
    if name == "skylarkdoord.cli":
        os.kill(os.getpid(), int(sys.argv.pop()))
    return load(name, *rest)
builtins.__import__ = signalling
_start.main()
"""


class TestStart:
    """`main`."""

    @pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
    async def test_early_signal(self, number):
        """A signal that comes while modules load is no failure."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", EARLY, "--version", str(int(number))
        )
        assert await process.wait() == 0
