"""Tests of the predefined deployments."""

import pytest

from skylarkdoor.settings import (
    FLEET_PATH,
    check_document,
    check_shared,
    team_path,
    to_plain,
)
from skylarkdoor_bench import (
    EngineSpec,
    ServiceSpec,
    lime_trust,
    seed_exchange,
    small_demo,
)

ALL = pytest.mark.parametrize("make", [small_demo, seed_exchange, lime_trust])


@ALL
class TestSettings:
    """Tests of the settings of each deployment."""

    def test_documents(self, make):
        """The documents that the launcher writes are valid."""
        deployment = make()
        fleet = check_document(FLEET_PATH, to_plain(deployment.fleet))
        teams = {
            name: check_document(team_path(name), to_plain(team))
            for name, team in deployment.teams.items()
        }
        check_shared(fleet, teams)

    def test_upstreams(self, make):
        """Each upstream is in a pool of its kind, and its model is in that pool."""
        deployment = make()
        for spec in deployment.upstreams:
            pool = deployment.fleet.pools[spec.pool]
            if isinstance(spec, EngineSpec):
                assert pool.kind == "model"
                assert spec.model in pool.models
            else:
                assert pool.kind == "service"

    def test_names(self, make):
        """Instance names and API keys are unique."""
        deployment = make()
        names = [spec.name for spec in (*deployment.entries, *deployment.upstreams)]
        keys = [
            customer.key_hashes
            for team in deployment.teams.values()
            for customer in team.customers.values()
        ]
        assert len(set(names)) == len(names)
        assert len(set(keys)) == len(keys)


class TestSizes:
    """Tests of the sizes of the users' deployments."""

    @pytest.mark.parametrize(
        ("make", "engines", "services", "entries"),
        [(seed_exchange, 6, 3, 3), (lime_trust, 5, 4, 4)],
    )
    def test_counts(self, make, engines, services, entries):
        """The numbers of engines, services, entries and customers are as expected."""
        deployment = make()
        kinds = [type(spec) for spec in deployment.upstreams]
        customers = [name for team in deployment.teams.values() for name in team[0]]
        assert kinds.count(EngineSpec) == engines
        assert kinds.count(ServiceSpec) == services
        assert len(deployment.entries) == entries
        assert len(customers) == 5
