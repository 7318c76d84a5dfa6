"""Tests of `skylarkdoor settings check`."""

import json

import pytest
from click.testing import CliRunner

from skylarkdoor_client.cli import main
from skylarkdoor_client.exceptions import ExitCode

FLEET = '{"tiers": {"lookup": {"rank": 0}}, "pools": {}}'
TEAM = """{
  "customers": {
    "a": {
      "key_hashes": [],
      "tier": "gold",
      "pools": ["gone"]
    }
  }
}"""


def check(*arguments: str):
    """Run `settings check`."""
    return CliRunner().invoke(main, ["settings", "check", *arguments])


@pytest.fixture
def tree(tmp_path):
    """Return a directory with a fleet and a team that uses undefined names."""
    (tmp_path / "fleet.jsonc").write_text(FLEET)
    (tmp_path / "teams").mkdir()
    (tmp_path / "teams" / "seed.jsonc").write_text(TEAM)
    return tmp_path


class TestTree:
    """A directory of files."""

    def test_dangling_names(self, tree):
        """Each undefined name is reported with file and line."""
        result = check(str(tree))
        team = tree / "teams" / "seed.jsonc"
        assert result.exit_code == ExitCode.INVALID
        assert f"{team}: line 5: /teams/seed/customers/a/tier: no tier" in result.output
        assert f"{team}: line 6: /teams/seed/customers/a/pools: no" in result.output

    def test_json(self, tree):
        """The JSON output contains the line of each problem."""
        result = CliRunner().invoke(main, ["--json", "settings", "check", str(tree)])
        problems = json.loads(result.output)["problems"]
        assert [problem["line"] for problem in problems] == [5, 6]

    def test_several_files(self, tree):
        """Problems of several files are reported together."""
        (tree / "fleet.jsonc").write_text('{"tiers": {}, "pool": {}}')
        (tree / "teams" / "seed.jsonc").write_text("{")
        result = check(str(tree))
        assert "unknown field `pool`; did you mean `pools`?" in result.output
        assert "seed.jsonc: line 1" in result.output

    def test_duplicate_subtree(self, tree):
        """Two files that contain the same subtree are rejected."""
        (tree / "other").mkdir()
        (tree / "other" / "fleet.json").write_text(FLEET)
        result = check(str(tree))
        assert result.exit_code == ExitCode.INVALID
        assert "fleet.json: contains /fleet, as does " in result.output

    def test_fine(self, tree):
        """Valid files are listed with the subtrees that they contain."""
        (tree / "teams" / "seed.jsonc").write_text('{"customers": {}}')
        result = check(str(tree))
        assert result.exit_code == ExitCode.OK
        assert "fleet.jsonc: ok as /fleet" in result.output
        assert "seed.jsonc: ok as /teams/seed" in result.output


class TestFile:
    """Single files."""

    def test_team_alone(self, tree):
        """A team without the fleet is checked by itself; the output says so."""
        result = check(str(tree / "teams" / "seed.jsonc"))
        assert result.exit_code == ExitCode.OK
        assert "were not checked" in result.output

    def test_path_given(self, tmp_path):
        """The option --path names the subtree that a file contains."""
        path = tmp_path / "other.json"
        path.write_text(FLEET)
        assert "ok as /fleet" in check(str(path), "--path", "/fleet").output

    def test_process(self, tmp_path):
        """Any other file is checked as the settings of a process."""
        path = tmp_path / "entry.jsonc"
        path.write_text('{"instance": "entry-1"}')
        result = check(str(path))
        assert result.exit_code == ExitCode.INVALID
        assert "missing required field `data_centre`" in result.output

    def test_path_with_many(self, tree):
        """The option --path with several files is a usage error."""
        assert check(str(tree), "--path", "/fleet").exit_code == ExitCode.USAGE
