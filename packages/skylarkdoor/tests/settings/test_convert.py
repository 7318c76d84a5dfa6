"""Tests of the conversion of documents and of the paths and texts of its errors."""

import pytest

from skylarkdoor.exceptions import SettingsError, SettingsErrorGroup
from skylarkdoor.settings import (
    FLEET_PATH,
    Customer,
    Fleet,
    Team,
    Tier,
    check_api_keys,
    check_document,
    check_shared,
    convert,
    load_process,
    read_document,
)

PROCESS = """{
  // one entry
  "instance": "entry-1",
  "data_centre": "teika",
  "listen": {
    "internal": "127.0.0.1:9000",
    /* no port */ "callers": "localhost"
  },
  "platform": {"table": ["http://127.0.0.1:1"], "objects": "ftp://x"},
}
"""


def problems_of(document, record=Fleet) -> list[str]:
    """Return the error messages of an invalid document."""
    with pytest.raises(SettingsError) as caught:
        convert(document, record, source="/fleet")
    return [str(problem) for problem in caught.value.problems]


class TestPath:
    """The path in an error message."""

    def test_key_of_dict(self):
        """The path contains the keys of objects with arbitrary keys."""
        document = {"tiers": {"lookup": {"rank": "x"}}, "pools": {}}
        assert problems_of(document) == [
            "/fleet: tiers.lookup.rank: expected an integer >= 0 and <= 15, got 'x'"
        ]

    def test_position_in_array(self):
        """The path contains array indexes."""
        customer = {"key_hashes": [], "tier": "a", "pools": ["b", 3]}
        problems = problems_of({"customers": {"me": customer}}, Team)
        assert problems == ["/fleet: customers.me.pools[1]: expected a string, got 3"]

    def test_several(self):
        """All problems are reported, not only the first one."""
        document = {"tiers": {"a": {"rank": -1}, "b": {}}, "pools": []}
        with pytest.raises(SettingsErrorGroup) as caught:
            check_document(FLEET_PATH, document)
        paths = [problem.path for problem in caught.value.problems]
        assert paths == ["tiers.a.rank", "tiers.b", "pools"]

    def test_group_parts(self):
        """A group of errors can be split like any exception group."""
        with pytest.raises(SettingsErrorGroup) as caught:
            check_document(FLEET_PATH, {})
        matching, rest = caught.value.split(SettingsError)
        assert len(matching.exceptions) == 2
        assert rest is None


class TestExpected:
    """The expected value in an error message."""

    def test_nearest_field(self):
        """The message for an unknown key names the most similar field."""
        document = {"tiers": {"a": {"rank": 0, "dead_line_s": 3}}, "pools": {}}
        (problem,) = problems_of(document)
        assert "unknown field `dead_line_s`; did you mean `deadline_s`?" in problem

    def test_no_near_field(self):
        """The message lists all fields if none is similar to the unknown key."""
        (problem,) = problems_of({"tiers": {}, "pools": {}, "colour": 1})
        assert "expected one of tiers, pools, operators" in problem

    def test_duration(self):
        """The message for a duration with a unit asks for a number of seconds."""
        document = {"tiers": {"a": {"rank": 0, "deadline_s": "5s"}}, "pools": {}}
        (problem,) = problems_of(document)
        assert "expected a number of seconds > 0, got '5s'" in problem

    def test_choice(self):
        """The message for an invalid choice lists the valid ones."""
        document = {"tiers": {}, "pools": {"a": {"kind": "modle"}}}
        (problem,) = problems_of(document)
        assert "expected one of 'model', 'service', got 'modle'" in problem

    def test_secret_not_shown(self):
        """The message does not show a key that was written in place of its hash."""
        customer = {"key_hashes": ["sk-secret"], "tier": "a", "pools": []}
        (problem,) = problems_of({"customers": {"me": customer}}, Team)
        assert "expected a SHA-256 hash as 64 hex digits, got str" in problem
        assert "secret" not in problem

    def test_scope(self):
        """An operator's scope must be a settings path."""
        operator = {"token_hashes": [], "scope": "teams/seed"}
        document = {"tiers": {}, "pools": {}, "operators": {"ada": operator}}
        (problem,) = problems_of(document)
        assert "expected a scope" in problem


class TestLines:
    """Line numbers in error messages."""

    def test_process_file(self, tmp_path):
        """Each problem of a process's settings file names file, line and path."""
        path = tmp_path / "entry.jsonc"
        path.write_text(PROCESS)
        with pytest.raises(SettingsError) as caught:
            load_process(path)
        problems = [str(problem) for problem in caught.value.problems]
        assert problems[0].startswith(f"{path}: line 7: listen.callers: expected an")
        assert f"{path}: line 9: platform.objects: expected an http" in problems[1]
        assert f"{path}: line 9: platform: missing" in problems[2]

    def test_key_spellings(self, tmp_path):
        """Quoted keys, bare keys and array items all have line numbers."""
        path = tmp_path / "a.jsonc"
        path.write_text("{\n'a': [1,\n{b: // }\n 2}],\n\"c\\n\": null\n}")
        lines = read_document(path).lines
        assert lines == {
            ("a",): 2,
            ("a", "0"): 2,
            ("a", "1"): 3,
            ("a", "1", "b"): 3,
            ("c\n",): 5,
        }


class TestDuplicateApiKeys:
    """API keys that belong to two customers."""

    CUSTOMER = Customer(key_hashes=("a" * 64,), tier="t", pools=())
    FLEET = Fleet(tiers={"t": Tier(rank=0)}, pools={})

    def test_within_team(self):
        """A team that lists a key twice is rejected at the second occurrence."""
        team = Team({"one": self.CUSTOMER, "two": self.CUSTOMER})
        with pytest.raises(SettingsErrorGroup) as caught:
            check_shared(self.FLEET, {"x": team})
        paths = [problem.path for problem in caught.value.problems]
        assert paths == ["/teams/x/customers/two/key_hashes"]

    def test_between_teams(self):
        """A key listed by two teams is found by `check_api_keys` alone."""
        teams = {
            "x": Team({"one": self.CUSTOMER}),
            "y": Team({"two": self.CUSTOMER}),
        }
        check_shared(self.FLEET, teams)
        with pytest.raises(SettingsErrorGroup) as caught:
            check_api_keys(teams)
        assert "API key already belongs to customer x/one" in str(caught.value)
        paths = [problem.path for problem in caught.value.problems]
        assert paths == ["/teams/y/customers/two/key_hashes"]
