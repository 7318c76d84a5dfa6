"""Tests of settings: parsing, checks and revisions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings import (
    FLEET_PATH,
    Customer,
    Fleet,
    Pool,
    SettingsView,
    Subtree,
    Team,
    Tier,
    check_document,
    check_shared,
    read_text,
    to_plain,
)

FLEET = Fleet(
    tiers={"lookup": Tier(rank=0), "batch": Tier(rank=1)},
    pools={"assistant": Pool(kind="model", models=("garden-7b",))},
)


def customer(**changes) -> Customer:
    """Return a valid customer with the given changes."""
    fields = {"key_hashes": ("a" * 64,), "tier": "lookup", "pools": ("assistant",)}
    return Customer(**(fields | changes))


class TestReadText:
    """Parsing of JSON with comments."""

    def test_comments(self):
        """Both kinds of comment are ignored."""
        assert read_text('{// one\n "a": 1, /* two */ "b": 2}') == {"a": 1, "b": 2}

    def test_error_names_line(self):
        """The error for a malformed document names the source and line."""
        with pytest.raises(SettingsError, match=r"f\.json: line 2"):
            read_text('{\n"a" 1}', source="f.json")

    def test_duplicate_key(self):
        """A duplicate key is rejected."""
        with pytest.raises(SettingsError, match="Duplicate key"):
            read_text('{"a": 1, "a": 2}')


class TestCheckDocument:
    """Checks of one subtree."""

    def test_round_trip(self):
        """A record converted to plain values converts back to itself."""
        assert check_document(FLEET_PATH, to_plain(FLEET)) == FLEET

    def test_unknown_field(self):
        """The error names an unknown key."""
        with pytest.raises(SettingsError, match="unknown field `colour`"):
            check_document(FLEET_PATH, {"tiers": {}, "pools": {}, "colour": 1})

    def test_wrong_range(self):
        """A number out of range is rejected."""
        document = {"tiers": {"a": {"rank": -1}}, "pools": {}}
        with pytest.raises(SettingsError, match="rank"):
            check_document(FLEET_PATH, document)

    @pytest.mark.parametrize("path", ["/", "/fleets", "/teams/", "/teams/a/b"])
    def test_path(self, path: str):
        """A path that is not that of a subtree is rejected."""
        with pytest.raises(SettingsError, match="expected /fleet or /teams/NAME"):
            check_document(path, {})


class TestCheckShared:
    """Checks across subtrees."""

    def test_consistent(self):
        """Settings that use only defined names are accepted."""
        check_shared(FLEET, {"seed": Team(customers={"a": customer()})})

    def test_dangling_names(self):
        """Each undefined name is reported with its path."""
        team = Team(customers={"a": customer(tier="gold", pools=("gone",))})
        with pytest.raises(ExceptionGroup) as caught:
            check_shared(FLEET, {"seed": team})
        paths = [error.path for error in caught.value.exceptions]
        assert paths == [
            "/teams/seed/customers/a/tier",
            "/teams/seed/customers/a/pools",
        ]


class TestSettingsView:
    """`SettingsView`."""

    def test_resolves_key(self):
        """A customer is found by its key's hash once its tier is defined."""
        view = SettingsView()
        view.apply(Subtree("/teams/seed", 1, Team(customers={"a": customer()})))
        assert view.resolve("a" * 64) is None
        view.apply(Subtree(FLEET_PATH, 1, FLEET))
        assert view.resolve("a" * 64).customer_name == "a"

    def test_key_that_moves(self):
        """A key that moves from one team to another resolves to the new one."""
        view = SettingsView()
        view.apply(Subtree(FLEET_PATH, 1, FLEET))
        view.apply(Subtree("/teams/one", 1, Team(customers={"a": customer()})))
        view.apply(Subtree("/teams/two", 1, Team(customers={"b": customer()})))
        view.apply(Subtree("/teams/one", 2, Team(customers={})))
        assert view.resolve("a" * 64).customer_name == "b"
        view.apply(Subtree("/teams/two", 2, Team(customers={})))
        assert view.resolve("a" * 64) is None

    @given(st.lists(st.integers(min_value=1, max_value=50)))
    def test_never_reverts(self, revisions: list[int]):
        """The revision in force never decreases, whatever the order of arrival."""
        view = SettingsView()
        highest = 0
        for revision in revisions:
            applied = view.apply(Subtree(FLEET_PATH, revision, FLEET))
            assert applied == (revision > highest)
            highest = max(highest, revision)
            assert view.revision(FLEET_PATH) == highest
