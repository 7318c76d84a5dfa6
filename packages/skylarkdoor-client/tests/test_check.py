"""`skylarkdoor settings check`: files without an entry."""

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
    """Run the check."""
    return CliRunner().invoke(main, ["settings", "check", *arguments])


@pytest.fixture
def tree(tmp_path):
    """Return a directory with a fleet and a team that names what it lacks."""
    (tmp_path / "fleet.jsonc").write_text(FLEET)
    (tmp_path / "teams").mkdir()
    (tmp_path / "teams" / "seed.jsonc").write_text(TEAM)
    return tmp_path


class TestTree:
    """A directory of files."""

    def test_dangling_names(self, tree):
        """Each name that is not defined is reported with file and line."""
        result = check(str(tree))
        team = tree / "teams" / "seed.jsonc"
        assert result.exit_code == ExitCode.INVALID
        assert f"{team}: line 5: /teams/seed/customers/a/tier: no tier" in result.output
        assert f"{team}: line 6: /teams/seed/customers/a/pools: no" in result.output

    def test_json(self, tree):
        """Programs get each problem's file, line, path and message."""
        result = CliRunner().invoke(main, ["--json", "settings", "check", str(tree)])
        problems = json.loads(result.output)["problems"]
        assert [problem["line"] for problem in problems] == [5, 6]

    def test_several_files(self, tree):
        """Problems of several files come together."""
        (tree / "fleet.jsonc").write_text('{"tiers": {}, "pool": {}}')
        (tree / "teams" / "seed.jsonc").write_text("{")
        result = check(str(tree))
        assert "unknown field `pool`; did you mean `pools`?" in result.output
        assert "seed.jsonc: line 1" in result.output

    def test_two_deployments(self, tree):
        """Two files that hold one subtree are no deployment."""
        (tree / "other").mkdir()
        (tree / "other" / "fleet.json").write_text(FLEET)
        result = check(str(tree))
        assert result.exit_code == ExitCode.INVALID
        assert "fleet.json: holds /fleet as " in result.output

    def test_fine(self, tree):
        """Files that are right are listed as what they hold."""
        (tree / "teams" / "seed.jsonc").write_text('{"customers": {}}')
        result = check(str(tree))
        assert result.exit_code == ExitCode.OK
        assert "fleet.jsonc: ok as /fleet" in result.output
        assert "seed.jsonc: ok as /teams/seed" in result.output


class TestFile:
    """Single files."""

    def test_team_alone(self, tree):
        """A team without the fleet is checked by itself, and this is said."""
        result = check(str(tree / "teams" / "seed.jsonc"))
        assert result.exit_code == ExitCode.OK
        assert "were not checked" in result.output

    def test_path_given(self, tmp_path):
        """A path says what a file holds whose place does not."""
        path = tmp_path / "other.json"
        path.write_text(FLEET)
        assert "ok as /fleet" in check(str(path), "--path", "/fleet").output

    def test_process(self, tmp_path):
        """Any other file holds a process's own settings."""
        path = tmp_path / "entry.jsonc"
        path.write_text('{"instance": "entry-1"}')
        result = check(str(path))
        assert result.exit_code == ExitCode.INVALID
        assert "missing required field `data_centre`" in result.output

    def test_path_with_many(self, tree):
        """One path cannot stand for many files."""
        assert check(str(tree), "--path", "/fleet").exit_code == ExitCode.USAGE
