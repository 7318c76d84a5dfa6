"""Tests of the rules by which versions of the configuration are judged."""

import pytest

from ._config_rules import ConfigRules, Impairment, Kind, Run


@pytest.fixture
def rules():
    """Return rules that know version 1 from 10 s on, and 2 from 20 s on."""
    rules = ConfigRules()
    rules.acknowledged = {1: 10.0, 2: 20.0}
    return rules


def impair(rules, kind, start, end):
    """Impair the entry "one"."""
    rules.impairments.append(Impairment(kind, "fault", frozenset({"one"}), start, end))


def run(rules, version, sent_at, entry="one"):
    """Judge a request; return the number of violations so far."""
    rules.judge(Run(entry, version, sent_at, sent_at + 0.1))
    return len(rules.violations)


class TestReplaced:
    """Requests that are handled by a replaced version."""

    @pytest.mark.parametrize(
        ("sent_at", "violations"), [(22.9, 0), (23.1, 1), (60.0, 1)]
    )
    def test_in_touch(self, rules, sent_at, violations):
        """An entry in touch uses a version 3 s after its acknowledgement."""
        assert run(rules, 1, sent_at) == violations

    @pytest.mark.parametrize(("sent_at", "violations"), [(25.9, 0), (26.1, 1)])
    def test_impaired(self, rules, sent_at, violations):
        """An entry is in touch again 4 s after its impairment."""
        impair(rules, Kind.ENTRY, 19.0, 22.0)
        assert run(rules, 1, sent_at) == violations

    def test_other_impaired(self, rules):
        """The impairment of another entry excuses nothing."""
        impair(rules, Kind.ENTRY, 19.0, 22.0)
        assert run(rules, 1, 23.1, "two") == 1

    @pytest.mark.parametrize(("sent_at", "violations"), [(28.9, 0), (29.1, 1)])
    def test_unstable(self, rules, sent_at, violations):
        """An unstable store stretches the bound for every entry."""
        impair(rules, Kind.UNSTABLE, 19.0, 40.0)
        assert run(rules, 1, sent_at, "two") == violations

    @pytest.mark.parametrize(("sent_at", "violations"), [(43.9, 0), (44.1, 1)])
    def test_down(self, rules, sent_at, violations):
        """There is no bound until the store has been up for 4 s."""
        impair(rules, Kind.DOWN, 19.0, 40.0)
        assert run(rules, 1, sent_at, "two") == violations

    def test_denied(self, rules):
        """A denied route is a violation of an entry in touch only."""
        impair(rules, Kind.ENTRY, 19.0, 22.0)
        rules.judge_refusal("one", 404, 25.0)
        assert not rules.violations
        rules.judge_refusal("two", 404, 25.0)
        assert len(rules.violations) == 1


class TestOlder:
    """Requests that are handled by an older version than one before."""

    @pytest.mark.parametrize(("sent_at", "violations"), [(20.7, 0), (21.0, 1)])
    def test_same_process(self, rules, sent_at, violations):
        """A process does not go back to an older version."""
        assert run(rules, 2, 20.5) == 0
        assert run(rules, 1, sent_at) == violations

    @pytest.mark.parametrize(("sent_at", "violations"), [(22.5, 0), (22.7, 1)])
    def test_slowed(self, rules, sent_at, violations):
        """An impaired entry has more time until an older version is excluded."""
        impair(rules, Kind.ENTRY, 19.0, 40.0)
        assert run(rules, 2, 20.5) == 0
        assert run(rules, 1, sent_at) == violations

    def test_new_process(self, rules):
        """A new process may know an older version at first."""
        assert run(rules, 2, 20.5) == 0
        rules.start_process("one")
        assert run(rules, 1, 22.0) == 0


class TestHeal:
    """`ConfigRules.heal`."""

    def test_time(self, rules):
        """The time until the newest version is used is measured once."""
        rules.heal({"one"}, 21.0)
        run(rules, 1, 22.0)
        run(rules, 2, 22.9)
        run(rules, 2, 23.5)
        ((blind_s, name),) = rules.blind_s
        assert blind_s == pytest.approx(2.0)
        assert name == "one"
