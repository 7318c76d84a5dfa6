"""Tests of what a process writes, and of its last line."""

import json
import subprocess
import sys

import pytest

from skylarkdoord.cli import EXIT_SETTINGS

# Runs a process with one service, which misbehaves as it starts and then stops.
SCRIPT = """
import asyncio, gc, logging, os, signal, socket, sys, threading, warnings
from grpclib.exceptions import StreamTerminatedError
from skylarkdoor import events
from skylarkdoord import _start
from skylarkdoord._lifetime import run_services

SECRET = "secret-of-a-caller"

class Service:
    name = "odd"
    requires = ()

    async def start(self, kernel):
        kernel.request_stop()
        loop = asyncio.get_running_loop()
{body}

    async def stop(self):
        pass

def main():
    sys.exit(run_services(lambda kernel: kernel.register(Service())))

import skylarkdoord.cli
skylarkdoord.cli.main = main
_start.main()
"""
UNFETCHED = """
async def fail():
    raise {error}
task = asyncio.create_task(fail())
await asyncio.sleep(0.01)
del task
gc.collect()
"""
LOGGED = """
try:
    raise {error}
except Exception:
    logging.getLogger("{logger}").exception("Application error")
"""
THREAD = """
thread = threading.Thread(target=lambda: 1 / 0, name="worker")
thread.start()
thread.join()
"""
DESTRUCTOR = """
class Odd:
    def __del__(self):
        raise ValueError("odd")
Odd()
"""
PORT_TAKEN = """
with socket.socket() as taken:
    taken.bind(("127.0.0.1", 0))
    taken.listen()
    await asyncio.start_server(print, *taken.getsockname())
"""
SEVERAL = r"""
for number in range(9):
    kernel.failures.append(ValueError("odd" + "\\" * 10_000))
"""
LOST = 'StreamTerminatedError("Connection lost")'


def run(body):
    """Run the script; return the finished process and its decoded lines."""
    lines = "\n".join(f"        {line}" for line in body.strip().splitlines())
    ended = subprocess.run(
        [sys.executable, "-c", SCRIPT.format(body=lines)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.stderr == ""
    return ended, [json.loads(line) for line in ended.stdout.splitlines()]


class TestOutput:
    """Lines that a process writes while it runs."""

    # Guards against tracebacks on standard error, which no line of the log explains.
    @pytest.mark.parametrize(
        ("body", "event", "text"),
        [
            (
                LOGGED.format(error='KeyError("odd")', logger="grpclib.server"),
                108,
                "odd",
            ),
            (LOGGED.format(error=LOST, logger="grpclib.server"), 110, "lost"),
            ('logging.getLogger("x").warning("odd %s", 1)', 108, "odd 1"),
            ('logging.getLogger("x").warning("odd %s")', 108, "odd %s"),
            ('warnings.warn("odd")', 108, "odd"),
            ('print("odd", file=sys.stderr)', 108, "odd"),
            (UNFETCHED.format(error='ValueError("odd")'), 109, "odd"),
            (UNFETCHED.format(error=LOST), 110, "lost"),
            ("loop.call_soon(lambda: 1 / 0); await asyncio.sleep(0.01)", 109, "Zero"),
            (THREAD, 109, "thread worker"),
            (DESTRUCTOR, 109, "odd"),
        ],
    )
    def test_event(self, body, event, text):
        """It is one line, an event, and the process goes on."""
        ended, lines = run(body)
        assert ended.returncode == 0
        assert [line["event"] for line in lines] == [event, 203]
        assert text in json.dumps(lines[0])

    # Guards against a line that is dropped because it is too long.
    @pytest.mark.parametrize("text", ["\\x00\\u1234", "\\\\", "\\'"])
    def test_long(self, text):
        """Long texts and deep tracebacks are shortened."""
        error = f'ValueError("{text}" * 100_000)'
        body = LOGGED.format(error=error, logger="x" * 100)
        body = body.replace('"Application error"', f'"{text}" * 100_000')
        ended, lines = run(body)
        assert ended.returncode == 0
        assert lines[0]["error"].startswith("ValueError(")
        assert lines[0]["frames"][-1].endswith("start")

    # Guards against requests, which the messages of some errors quote, in the log.
    @pytest.mark.parametrize(
        "body",
        [
            LOGGED.format(error="ValueError(SECRET)", logger="aiohttp.server"),
            UNFETCHED.format(error="__import__('aiohttp').ClientError(SECRET)"),
            UNFETCHED.format(
                error="UnicodeDecodeError('x', SECRET.encode(), 0, 1, '')"
            ),
        ],
    )
    def test_private(self, body):
        """The message of an error that may quote a request is left out."""
        ended, lines = run(body)
        assert "Error" in lines[0]["error"]
        assert "secret" not in ended.stdout


class TestLastLine:
    """The line with which a process ends."""

    # Guards against a process that ends without a reason in its log.
    @pytest.mark.parametrize(
        ("body", "status", "text"),
        [
            ("", 0, "cleanly"),
            ("raise ValueError('odd')", 1, "odd"),
            ("raise ValueError('odd' * 10_000)", 1, "odd"),
            (SEVERAL, 1, "odd"),
            ("raise asyncio.CancelledError", 1, "CancelledError"),
            ("sys.exit(3)", 3, "SystemExit(3)"),
            ("loop.call_soon(sys.exit, 3); await asyncio.sleep(1)", 3, "SystemExit(3)"),
            ("loop.call_soon(loop.stop); await asyncio.sleep(1)", 1, "RuntimeError"),
            (PORT_TAKEN, 1, "address already in use"),
        ],
    )
    def test_reason(self, body, status, text):
        """It tells the reason."""
        ended, lines = run(body)
        assert ended.returncode == status
        assert lines[-1]["event"] == (202 if status else 203)
        assert text in json.dumps(lines[-1])


DIRECT = {
    "instance": "edge-1",
    "data_centre": "north",
    "adapter": "skylarkdoor_platform",
    "store": "127.0.0.1:1",
    "listen": {
        "peers": "127.0.0.1:0",
        "metrics": "127.0.0.1:0",
        "callers": "127.0.0.1:0",
        "ready": "127.0.0.1:0",
    },
    "guard_port": 6,
}


class TestNotStarted:
    """A process that can't start."""

    @pytest.mark.parametrize(
        ("role", "settings", "event", "text"),
        [
            ("direct-entry", DIRECT | {"guard_port": "x"}, 210, "guard_port"),
            ("direct-entry", DIRECT | {"adapter": "no_such"}, 202, "no_such"),
            ("guard", None, 210, "settings.json"),
            ("entry", {}, 210, "instance"),
            ("sidecar", {}, 210, "instance"),
        ],
    )
    def test_settings(self, tmp_path, role, settings, event, text):
        """The only line tells what is wrong with the settings."""
        path = tmp_path / "settings.json"
        if settings is not None:
            path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "skylarkdoord", role, "--settings", str(path)]
        ended = subprocess.run(command, capture_output=True, text=True, check=False)
        assert (ended.returncode, ended.stderr) == (EXIT_SETTINGS, "")
        (line,) = [json.loads(line) for line in ended.stdout.splitlines()]
        assert line["event"] == event
        assert text in json.dumps(line)
