"""Validity of the example deployments."""

import pytest
from click.testing import CliRunner

from skylarkdoor.settings import load_process
from skylarkdoor_client.cli import main
from skylarkdoord._roles import ENTRY, SIDECAR, check_role

from ._pages import ROOT

EXAMPLES = sorted(path for path in (ROOT / "examples").iterdir() if path.is_dir())
PROCESSES = [
    path
    for example in EXAMPLES
    for path in sorted(example.glob("*.jsonc"))
    if path.stem != "fleet"
]


class TestExamples:
    """Every deployment under `examples`."""

    @pytest.mark.parametrize("example", EXAMPLES, ids=lambda path: path.name)
    def test_check(self, example):
        """The client finds no errors in the files or between them."""
        result = CliRunner().invoke(main, ["settings", "check", str(example)])
        assert result.exit_code == 0, result.output
        assert "were not checked" not in result.output

    @pytest.mark.parametrize("path", PROCESSES, ids=lambda path: path.stem)
    def test_role(self, path):
        """A process's settings file has everything that its role requires."""
        role = ENTRY if path.stem == "entry" else SIDECAR
        settings = load_process(path)
        without_tls = settings._replace(
            internal_tls=None, listen=settings.listen._replace(tls=None)
        )
        check_role(role, without_tls, source=str(path))
