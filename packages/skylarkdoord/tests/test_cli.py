"""Tests of the daemon's command line."""

import json

import pytest
from click.testing import CliRunner

from skylarkdoord.cli import EXIT_OK, EXIT_SETTINGS, main

PLATFORM = {
    "table": ["http://127.0.0.1:1"],
    "objects": "http://127.0.0.1:1",
    "instances": "http://127.0.0.1:1",
    "weights": "http://127.0.0.1:1",
}
ENTRY = {
    "instance": "entry-1",
    "data_centre": "teika",
    "listen": {"internal": "127.0.0.1:9000", "callers": "127.0.0.1:8000"},
    "platform": PLATFORM,
}


@pytest.fixture
def check(tmp_path):
    """Return a function that runs `--check` on a settings document for a role."""

    def check(role: str, document: object):
        path = tmp_path / "process.json"
        path.write_text(json.dumps(document))
        arguments = [role, "--settings", str(path), "--check"]
        return CliRunner().invoke(main, arguments)

    return check


class TestVersion:
    """`skylarkdoord --version`."""

    def test_version(self):
        """The program prints its name and version."""
        result = CliRunner().invoke(main, ["--version"])
        assert result.output.startswith("skylarkdoord, version ")


class TestCheck:
    """`skylarkdoord ROLE --check`."""

    def test_valid(self, check):
        """Valid settings are reported as valid, and no process is started."""
        result = check("entry", ENTRY)
        assert result.exit_code == EXIT_OK
        assert "ok for the role entry" in result.output

    def test_missing_for_role(self, check):
        """A missing setting that only this role requires is reported."""
        result = check("sidecar", ENTRY)
        assert result.exit_code == EXIT_SETTINGS
        assert "listen.rpc: missing field" in result.output

    def test_several_problems(self, check):
        """Each problem is reported on a separate line."""
        result = check("entry", ENTRY | {"instance": 3, "colour": 1})
        assert result.exit_code == EXIT_SETTINGS
        assert len(result.output.splitlines()) == 2

    def test_certificate(self, check):
        """A missing certificate file is reported before the start."""
        files = {"certificate": "/no.pem", "key": "/no.pem", "authority": "/no.pem"}
        result = check("entry", ENTRY | {"internal_tls": files})
        assert result.exit_code == EXIT_SETTINGS
        assert "/no.pem" in result.output
