"""Tests of the versions to which an entry sends during a roll-out."""

import pytest

from skylarkdoord.direct._adapter import StoreVersion
from skylarkdoord.direct.rollouts import (
    Decision,
    Phase,
    RolloutBounds,
    RolloutGate,
    RolloutOrder,
    Versions,
)

from ._make import SERVICE

BOUNDS = RolloutBounds(0.1, 50, 5.0)
NEW = [f"v2-{number}" for number in range(40)]
NOW = 1000.0


def make_decision(phase=Phase.TRIAL, version="v2", number=1, **changes):
    """Return a decision on an order."""
    order = RolloutOrder(SERVICE, version, 12.0, StoreVersion(1, number))
    return Decision(order, phase, 0.05, 0.0, term=1)._replace(**changes)


def make_gate(decision=None, instance="e1", entries=4):
    """Return a gate that holds a decision."""
    gate = RolloutGate(BOUNDS, instance, lambda: entries)
    if decision is not None:
        gate.apply(decision, NOW)
    return gate


def play(gate, requests, now=NOW, routes=("notes",)):
    """Send requests; return how many of each route went to the new version."""
    chosen = dict.fromkeys(routes, 0)
    for number in range(requests):
        route = routes[number % len(routes)]
        versions = gate.versions_for(SERVICE, route, NEW, now)
        version = "v2" if versions.only == "v2" else "v1"
        gate.on_sent(SERVICE, version, is_first=True)
        chosen[route] += version == "v2"
    return chosen


def first_only(gate, now=NOW):
    """Return the versions for a request that is no trial."""
    return gate.versions_for_retry(SERVICE, NEW, now)


class TestTrial:
    """An entry while a version is on trial."""

    def test_no_order(self):
        """Without an order any version may be used."""
        assert make_gate().versions_for(SERVICE, "notes", NEW, NOW) == Versions()

    def test_share(self):
        """Each route gets the same share, also if their requests alternate."""
        chosen = play(make_gate(make_decision()), 2000, routes=("a", "b"))
        assert all(44 <= count <= 56 for count in chosen.values())
        assert 98 <= sum(chosen.values()) <= 101

    # Guards against a request of each entry beyond the share.
    def test_many_entries(self):
        """Many entries with few requests each together give the share."""
        decision = make_decision()
        chosen = sum(
            play(make_gate(decision, f"e{number}", 1000), 2)["notes"]
            for number in range(1000)
        )
        assert 60 <= chosen <= 140

    def test_same_instances(self):
        """All entries use the same upstreams, as many as carry the share."""
        gates = [
            make_gate(make_decision(share=1.0), f"e{number}") for number in range(5)
        ]
        found = {
            gate.versions_for(SERVICE, "notes", NEW[:-1], NOW).preferred
            for gate in gates
        }
        assert len(found) == 1
        gate = make_gate(make_decision())
        while not (versions := gate.versions_for(SERVICE, "notes", NEW, NOW)).only:
            gate.on_sent(SERVICE, "v1", is_first=True)
        assert len(versions.preferred) == 2

    def test_not_ready(self):
        """Nothing goes to a version without ready upstreams, nor is it made up for."""
        gate = make_gate(make_decision())
        for _ in range(1000):
            assert gate.versions_for(SERVICE, "notes", [], NOW).only is None
            gate.on_sent(SERVICE, "v1", is_first=True)
        assert play(gate, 20)["notes"] <= 2

    def test_out_of_touch(self):
        """Nothing goes to it after 2 s without a decision, until the next one."""
        gate = make_gate(make_decision())
        assert play(gate, 200, NOW + 2.1)["notes"] == 0
        gate.apply(make_decision(), NOW + 2.2)
        assert play(gate, 200, NOW + 2.3)["notes"] >= 9

    def test_retry(self):
        """A request that failed at the new version is retried at the old one."""
        versions = first_only(make_gate(make_decision()))
        assert not versions.allows("v2")
        assert versions.allows("v1")

    # Guards against resumptions that are not counted.
    def test_resumptions(self):
        """Resumptions use up the exposure, and end with it."""
        gate = make_gate(make_decision(), entries=10)
        resumed = 0
        while gate.allows_resumption(SERVICE, "v2", NOW):
            gate.on_sent(SERVICE, "v2")
            resumed += 1
        assert resumed <= 3
        assert play(gate, 1)["notes"] == 0
        assert gate.allows_resumption(SERVICE, "v1", NOW)

    def test_stop(self):
        """Bad evidence stops it at once, also what waits; other evidence lifts that."""
        gate = make_gate(make_decision())
        gate.stop(SERVICE, "bad")
        assert play(gate, 200)["notes"] == 0
        assert not gate.may_send(SERVICE, "v2", NOW)
        gate.stop(SERVICE, "")
        assert gate.may_send(SERVICE, "v2", NOW)

    def test_expected(self):
        """Nothing goes to the version of an order without a decision."""
        gate = make_gate()
        gate.expect(make_decision().order, NOW)
        assert play(gate, 200)["notes"] == 0
        assert gate.apply(make_decision(), NOW)
        assert play(gate, 200)["notes"] >= 9


class TestPhases:
    """An entry in the other phases."""

    @pytest.mark.parametrize("phase", [Phase.HANDOVER, Phase.COMPLETED])
    def test_only_new(self, phase):
        """Everything goes to the new version, also out of touch."""
        gate = make_gate(make_decision(phase))
        versions = gate.versions_for(SERVICE, "notes", NEW, NOW + 10.0)
        assert versions.only == "v2"
        assert gate.allows_resumption(SERVICE, "v1", NOW)

    # Guards against a service that stops because its new upstreams crashed.
    def test_not_ready(self):
        """The old version is used while no new upstream is ready."""
        gate = make_gate(make_decision(Phase.HANDOVER))
        assert gate.versions_for(SERVICE, "notes", [], NOW).allows("v1")

    def test_stop(self):
        """Bad evidence in the handover returns to the old version."""
        gate = make_gate(make_decision(Phase.HANDOVER))
        gate.stop(SERVICE, "bad")
        assert not first_only(gate).allows("v2")

    def test_reverted(self):
        """Nothing goes to a version that was reverted."""
        gate = make_gate(make_decision(Phase.REVERTED))
        assert not first_only(gate).allows("v2")
        assert not gate.allows_resumption(SERVICE, "v2", NOW)

    def test_precedence(self):
        """A decision of a lower precedence changes nothing."""
        gate = make_gate(make_decision(Phase.REVERTED))
        assert not gate.apply(make_decision(Phase.HANDOVER, term=9), NOW)
        assert gate.decision(SERVICE).phase is Phase.REVERTED

    def test_report(self):
        """A report states the decision that the entry holds."""
        gate = make_gate(make_decision(Phase.HANDOVER, step=3))
        gate.on_sent(SERVICE, "v1", is_once=True)
        report = gate.report(SERVICE)
        assert (report.term, report.step, report.running_old_once) == (1, 3, 1)
        gate.on_ended(SERVICE, "v1", is_once=True)
        assert gate.report(SERVICE).running_old_once == 0


class TestOrders:
    """Orders that follow each other."""

    def test_repeated(self):
        """A version that was reverted gets its trial again by another order."""
        gate = make_gate(make_decision(Phase.REVERTED))
        gate.apply(make_decision(number=2), NOW)
        assert play(gate, 200)["notes"] >= 9

    # Guards against an untested version that counts as the old one.
    def test_changed_midway(self):
        """A version whose order was replaced gets nothing."""
        gate = make_gate(make_decision())
        gate.apply(make_decision(version="v3", number=2), NOW)
        versions = first_only(gate)
        assert [versions.allows(name) for name in ("v1", "v2", "v3")] == [
            True,
            False,
            False,
        ]
        assert not gate.allows_resumption(SERVICE, "v2", NOW)

    def test_withheld_in_decision(self):
        """An entry that restarted learns of such versions by the decision."""
        decision = make_decision(version="v3", number=2, withheld=("v2",))
        assert not first_only(make_gate(decision)).allows("v2")

    def test_completed_between(self):
        """After a completion the next order begins anew."""
        gate = make_gate(make_decision(Phase.COMPLETED))
        gate.apply(make_decision(version="v1", number=2), NOW)
        versions = first_only(gate)
        assert versions.allows("v2")
        assert not versions.allows("v1")

    def test_older_order(self):
        """A decision on an older order changes nothing."""
        gate = make_gate(make_decision(version="v3", number=2))
        assert not gate.apply(make_decision(Phase.COMPLETED, term=9), NOW)
        assert gate.decision(SERVICE).order.version == "v3"

    def test_forgotten(self):
        """A service that left the configuration has no roll-out."""
        gate = make_gate(make_decision(Phase.REVERTED))
        gate.forget(SERVICE)
        assert first_only(gate) == Versions()
