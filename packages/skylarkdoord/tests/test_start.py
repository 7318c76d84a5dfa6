"""Tests of signals that arrive before the services run."""

import signal
import subprocess
import sys

# Starts with a command line that receives SIGTERM where Python ignores exceptions, as
# in the import system's own callbacks.
SCRIPT = """
import signal
import sys
import types
import weakref

from skylarkdoord import _start

class Module:
    pass

def terminate(reference):
    signal.raise_signal(signal.SIGTERM)

def main():
    module = Module()
    reference = weakref.ref(module, terminate)
    del module
    sys.exit("the process goes on")

command_line = types.ModuleType("skylarkdoord.cli")
command_line.main = main
sys.modules["skylarkdoord.cli"] = command_line
_start.main()
"""


class TestMain:
    """`_start.main`."""

    # Guards against a SIGTERM that is lost while modules are imported.
    def test_sigterm_in_callback(self):
        """SIGTERM ends the process where an exception would be ignored."""
        command = [sys.executable, "-c", SCRIPT]
        ended = subprocess.run(command, capture_output=True, text=True)
        assert (ended.returncode, ended.stderr) == (0, "")

    def test_sighup(self):
        """SIGHUP is ignored while there are no settings to read."""
        script = SCRIPT.replace("SIGTERM", "SIGHUP")
        command = [sys.executable, "-c", script]
        ended = subprocess.run(command, capture_output=True, text=True)
        assert ended.returncode not in (0, -signal.SIGHUP)
        assert ended.stderr == "the process goes on\n"
