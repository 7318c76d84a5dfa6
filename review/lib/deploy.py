"""Starts the programs of `deploy/system.toml` as the platform does, on loopback."""

import asyncio
import json
import os
import re
import signal
import socket
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/skylarkdoor/boot.conf"
RESTART_DELAY_S = 0.5


def free_port(host="127.0.0.1"):
    """Return a port that is free on an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


# A template's placeholders and sections, as DEPLOY.md describes them.
TAG = re.compile(r"\{\{([#^/]?)([^}|]*)(\|json)?\}\}")


def _find(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def _text(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)


def render(text, *scopes):
    """Return a settings template with the platform's fields filled in."""
    out, at = "", 0
    while match := TAG.search(text, at):
        out += text[at : match.start()]
        at = match.end()
        kind, name, as_json = match.groups()
        if kind not in ("#", "^"):
            if name != ",":
                out += _text(_find(scopes, name), bool(as_json))
            continue
        end = text.index("{{/" + name + "}}", at)
        body, at = text[at:end], end + len("{{/" + name + "}}")
        value = _find(scopes, name)
        if kind == "^":
            out += "" if value else render(body, *scopes)
        elif isinstance(value, list):
            for item in value:
                out += render(body, *scopes, item)
        elif value not in (None, False):
            out += render(body, *scopes)
    return out + text[at:]


class Program:
    """One role of the deploy file on one machine.

    Args:
        role: Name of the role.
        fields: Fields of the machine's settings.
        folder: Temporary folder.
        record: Called with a line for the record.
        env: Further variables of its environment, such as another store address.
    """

    def __init__(self, role, fields, folder, record):
        with (ROOT / "deploy/system.toml").open("rb") as file:
            self.spec = tomllib.load(file)["roles"][role]
        self.name = fields["nodeName"]
        self.fields = fields
        self.record = record
        self.path = Path(folder) / f"{self.name}.conf"
        self.log_path = Path(folder) / f"{self.name}.log"
        self.write_settings()
        self.process = None
        # Times at which it ended by itself, which includes its end for too much memory.
        self.ends = []
        self.is_stopped = False
        self.is_stopping = False
        self.watch = None

    def write_settings(self):
        """Fill in the template, as the platform does at every start."""
        template = (ROOT / self.spec["template"]).read_text()
        self.path.write_text(render(template, self.fields))

    async def start(self):
        """Start the process with the command of the deploy file."""
        command = [
            str(self.path) if word == SETTINGS_PATH else word
            for word in self.spec["run"].split()
        ]
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SKYLARKDOOR_CONFIG": str(self.path),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record(f"{self.name} is started, process {self.process.pid}")

    async def supervise(self):
        """Start the process again a short time after it has ended by itself."""
        while True:
            status = await self.process.wait()
            if self.is_stopping:
                return
            if self.is_stopped:
                self.record(f"{self.name} has stopped with status {status}")
                self.is_stopped = False
            else:
                self.ends.append(time.monotonic())
                self.record(f"{self.name} has ended by itself with status {status}")
            await asyncio.sleep(RESTART_DELAY_S)
            self.fields["bootstrap"] = False
            self.write_settings()
            await self.start()

    def keep_running(self):
        """Restart the process whenever it ends."""
        self.watch = asyncio.create_task(self.supervise())

    def stop(self):
        """Ask the process to stop, with SIGTERM."""
        self.record(f"{self.name} gets SIGTERM")
        self.is_stopped = True
        self.process.send_signal(signal.SIGTERM)

    def kill_for_memory(self):
        """Kill the process, as the platform does when it exceeds its memory."""
        self.process.kill()

    async def end(self):
        """End the process for good."""
        self.is_stopping = True
        if self.watch:
            self.watch.cancel()
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "gracePeriodS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "skewBoundMs": 5000,
    "strictRevocation": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaTolerance": 110000,
    "recoveryS": 12,
    "deliverySlackMs": 120,
    "reuseWindowS": 5.7,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "quota",
    "platform",
]


def machine_fields(name, machine_class, ip, store, ports, *, app=None, **changes):
    """Return the fields of a machine's settings, as in the example of DEPLOY.md.

    Args:
        name: Name of the machine.
        machine_class: `edge` or `side`.
        ip: Its loopback address.
        store: Address of the platform's store.
        ports: Ports that are the same on all machines: `frontend`, `ready`, `internal`.
        app: Address of the server on a `side` machine.
        **changes: Other fields.
    """
    fields = {
        "nodeName": name,
        "machineClass": machine_class,
        "serves": [machine_class],
        "ip": ip,
        "zone": "agenskalns",
        "region": "riga",
        "listen": {
            "frontend": f"{ip}:{ports['frontend']}",
            "ready": f"{ip}:{ports['ready']}",
        },
        "internalPortRange": [ports["internal"], ports["internal"] + 15],
        "bootstrap": True,
        "limits": {
            "cpuFraction": 0.817,
            "cpuCores": 1,
            "memoryMb": 150 if machine_class == "edge" else 232,
            "maxFds": 4100,
            "linkMbps": 1000.0,
            "diskMb": 0,
        },
        "heartbeatMs": 1200,
        "contracts": CONTRACTS,
        "bounds": dict(BOUNDS),
        "platform": {"address": store, "form": "table"},
    }
    if app:
        fields["app"] = app
    return fields | changes
