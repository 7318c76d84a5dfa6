"""The workspace's packages can be imported, and KNOWN-RED.txt is valid."""

import ast
import importlib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# Modules whose sessions may resend: their GET, PUT and DELETE requests only read or
# have the same effect twice.
MAY_RESEND = {
    "admin/_instances.py",
    "common/_platform.py",
    "entry/_dispatch.py",
    "planner/_engine.py",
    "sidecar/_health.py",
    "sidecar/_owners.py",
    "skylarkdoor_platform/_store.py",
}


class TestPackages:
    """Every package of the workspace."""

    @pytest.mark.parametrize(
        "name",
        [
            "skylarkdoor",
            "skylarkdoor_bench",
            "skylarkdoor_client",
            "skylarkdoor_standins",
            "skylarkdoord",
        ],
    )
    def test_imports(self, name: str):
        """A package can be imported and has a docstring."""
        assert importlib.import_module(name).__doc__


class TestKnownRed:
    """KNOWN-RED.txt, the list of known failing tests."""

    def test_entries(self):
        """Each entry has four parts and names an existing test."""
        for line in (ROOT / "KNOWN-RED.txt").read_text().splitlines():
            if not line.strip() or line.startswith("#"):
                continue
            test, _, _, _ = line.split(" | ")
            path, *names = test.partition("[")[0].split("::")
            text = (ROOT / path).read_text()
            if names[1:] == ["runTest"]:
                # Hypothesis generates a state machine's test; the module assigns it.
                assert f"\n{names[0]} = " in text
                continue
            assert all(f" {name}(" in text or f" {name}:" in text for name in names)


# The only module that creates sessions of aiohttp itself; all others call it.
BOUNDED_SESSIONS = "skylarkdoor/_bounded_http.py"


def calls_of(path: Path, name: str):
    """Return the calls in a module of a function or class with a name."""
    return [
        node
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call)
        and name in (getattr(node.func, "attr", ""), getattr(node.func, "id", ""))
    ]


def short_name(path: Path):
    """Return the last two parts of a module's path."""
    return "/".join(path.parts[-2:])


def product_modules():
    """Return the modules of the product and the adapter, without the bench."""
    names = ("skylarkdoor", "skylarkdoord", "skylarkdoor-client")
    packages = [ROOT / "packages" / name for name in names]
    return [
        path
        for package in [*packages, ROOT / "platform"]
        for path in (package / "src").rglob("*.py")
    ]


class TestHttpSessions:
    """Sessions of the HTTP client, which resends some requests by default."""

    # Guards against retries below the code that counts them.
    def test_no_resend(self):
        """Each session sends once, unless its module is listed as safe."""
        resending = {
            short_name(path)
            for path in product_modules()
            for call in calls_of(path, "open_session")
            if "middlewares" not in {keyword.arg for keyword in call.keywords}
        }
        assert resending == MAY_RESEND

    # Guards against answers without end at a process that has no test of its own.
    def test_bounded(self):
        """Each session bounds the bytes of an answer."""
        unbounded = {
            short_name(path)
            for path in product_modules()
            for name in ("ClientSession", "TCPConnector", "HTTPConnection")
            if calls_of(path, name)
        }
        assert unbounded == {BOUNDED_SESSIONS, "direct/_plain_http.py"}
