"""Tests of signals that arrive while a process imports its modules."""

import asyncio
import signal
import sys

import pytest

# Program that sends itself a signal just before the command line is imported.
SELF_SIGNALLING_START = """
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
        """A signal during the imports does not make the process fail."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", SELF_SIGNALLING_START, "--version", str(int(number))
        )
        assert await process.wait() == 0
