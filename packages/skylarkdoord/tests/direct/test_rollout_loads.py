"""Tests of roll-outs in simulated loads; each class is named after its load."""

import pytest

from skylarkdoord.direct.rollouts import Phase

from ._rollout_simulation import Fault, RouteLoad, Simulation

SEEDS = range(1, 7)
FEW_SEEDS = range(1, 4)
# A lookup fails on the old version too, and a payment may run only once.
ROUTES = (
    RouteLoad("notes"),
    RouteLoad("lookup", weight=0.5, mean_s=0.1, failure_share=0.14),
    RouteLoad("pay", weight=0.3, mean_s=0.2, is_once=True),
)


def check_completed(simulation):
    """Check that a good version took over in time, and nothing was cut off."""
    assert simulation.phase is Phase.COMPLETED
    assert simulation.is_in_time
    assert simulation.once_cut == 0


def check_reverted(simulation):
    """Check that a bad version got no more than its bounds."""
    assert simulation.phase is Phase.REVERTED
    assert simulation.is_in_time
    assert simulation.exposure <= 1.0
    assert simulation.late_sends == 0


@pytest.mark.parametrize("seed", SEEDS)
class TestGoodVersion:
    """A version without faults."""

    def test_one_route(self, seed):
        """It completes in time."""
        check_completed(Simulation(seed=seed).run())

    # Guards against failures of the old version that count against the new one.
    def test_old_failures(self, seed):
        """It completes though 14 % of the lookups fail at both versions."""
        check_completed(Simulation(routes=ROUTES, seed=seed).run())

    # Guards against slow upstreams that chance gave to the new version.
    def test_slow_noise(self, seed):
        """It completes though upstreams of both versions slow down at times."""
        simulation = Simulation(routes=ROUTES, noise_per_s=4.0, seed=seed)
        check_completed(simulation.run())

    @pytest.mark.parametrize("per_s", [3.0, 10.0, 30.0])
    def test_few_requests(self, seed, per_s):
        """It completes with few requests."""
        check_completed(Simulation(per_s=per_s, seed=seed).run())

    def test_long_answers(self, seed):
        """It completes before long answers end, but not before once-only ones do."""
        routes = (
            RouteLoad("notes", mean_s=2.0),
            RouteLoad("pay", weight=0.2, mean_s=0.3, is_once=True),
        )
        check_completed(Simulation(routes=routes, per_s=30.0, seed=seed).run())


@pytest.mark.parametrize("seed", SEEDS)
class TestStalls:
    """A moment at which nothing answers, whatever the version."""

    def with_stall(self, at_s, **options):
        """Return the simulation of an order of 6 s, with a stall at some time."""
        routes = [RouteLoad("notes", mean_s=0.05)]
        stall = (at_s, at_s + 0.3)
        return Simulation(routes=routes, duration_s=6.0, stalls=(stall,), **options)

    # Guards against answers that one stall delayed and that are held against the new
    # version, as the old one no longer answers for comparison.
    @pytest.mark.parametrize("at_s", [2.0, 4.7, 4.9, 5.1])
    def test_good(self, seed, at_s):
        """A good version completes though a stall delays all answers once."""
        check_completed(self.with_stall(at_s, entries=2, seed=seed).run())

    def test_slow(self, seed):
        """A slow version is reverted though a stall delays all answers once."""
        fault = Fault(slow=0.5)
        check_reverted(self.with_stall(2.0, fault=fault, seed=seed).run())


@pytest.mark.parametrize("seed", SEEDS)
class TestFailures:
    """A version of whose answers a part fails."""

    @pytest.mark.parametrize("share", [0.2, 0.5, 1.0])
    def test_at_once(self, seed, share):
        """One that fails from the start is reverted."""
        check_reverted(Simulation(fault=Fault(failures=share), seed=seed).run())

    def test_beside_old_failures(self, seed):
        """It is reverted though the old version fails on one route as well."""
        fault = Fault(failures=0.2)
        check_reverted(Simulation(fault=fault, routes=ROUTES, seed=seed).run())

    @pytest.mark.parametrize("from_s", [3.0, 6.0, 8.0])
    def test_later(self, seed, from_s):
        """One that fails later is reverted."""
        fault = Fault(failures=0.5, from_s=from_s)
        check_reverted(Simulation(fault=fault, seed=seed).run())

    @pytest.mark.parametrize("min_load", [0.3, 0.5])
    def test_under_load(self, seed, min_load):
        """One that fails under load only is reverted."""
        fault = Fault(failures=0.5, min_load=min_load)
        check_reverted(Simulation(fault=fault, per_s=150.0, seed=seed).run())

    def test_one_route(self, seed):
        """One that fails on one route only is reverted."""
        fault = Fault(failures=0.5, route="lookup")
        check_reverted(Simulation(fault=fault, routes=ROUTES, seed=seed).run())

    def test_few_requests(self, seed):
        """It is reverted with 20 requests a second."""
        fault = Fault(failures=0.4)
        check_reverted(Simulation(fault=fault, per_s=20.0, seed=seed).run())

    # Guards against completing a version about which too little is known.
    def test_very_few_requests(self, seed):
        """One that fails is reverted with 5 requests a second."""
        fault = Fault(failures=0.3)
        check_reverted(Simulation(fault=fault, per_s=5.0, seed=seed).run())


@pytest.mark.parametrize("seed", SEEDS)
class TestSlowness:
    """A version of whose answers a part takes several times as long."""

    @pytest.mark.parametrize(
        "fault", [Fault(slow=1.0, factor=3.0), Fault(slow=0.3, factor=4.0)]
    )
    def test_at_once(self, seed, fault):
        """One that is slow from the start is reverted."""
        check_reverted(Simulation(fault=fault, seed=seed).run())

    def test_later(self, seed):
        """One that is slow later is reverted."""
        fault = Fault(slow=0.5, from_s=5.0)
        check_reverted(Simulation(fault=fault, seed=seed).run())

    # Guards against running requests that count as slow only when they end.
    def test_before_handover(self, seed):
        """One that is slow shortly before the handover is reverted."""
        fault = Fault(slow=0.5, from_s=7.0)
        check_reverted(Simulation(fault=fault, seed=seed).run())

    def test_under_load(self, seed):
        """One that is slow under load only is reverted."""
        fault = Fault(slow=1.0, min_load=0.4)
        check_reverted(Simulation(fault=fault, seed=seed).run())

    def test_one_route(self, seed):
        """One that is slow on one route only is reverted."""
        fault = Fault(slow=1.0, route="lookup")
        check_reverted(Simulation(fault=fault, routes=ROUTES, seed=seed).run())

    def test_among_noise(self, seed):
        """It is reverted though upstreams of both versions slow down at times."""
        fault = Fault(slow=0.4)
        simulation = Simulation(fault=fault, noise_per_s=4.0, seed=seed)
        check_reverted(simulation.run())


@pytest.mark.parametrize("seed", FEW_SEEDS)
class TestExposure:
    """What a version gets whose fault shows only when everything goes to it.

    Its faults are found late, so that it uses all that a trial may use.
    """

    def exposure_on_trial(self, **options):
        """Return the simulation of a version that has too few slots to be handed to."""
        capacity = options.pop("capacity_at", lambda now: 0.8)
        return Simulation(capacity_at=capacity, **options).run()

    # Guards against a slack of one request for each entry.
    def test_many_entries(self, seed):
        """Many entries with few requests each stay within the bound."""
        simulation = self.exposure_on_trial(entries=60, per_s=40.0, seed=seed)
        check_reverted(simulation)

    def test_uneven(self, seed):
        """Uneven traffic over the entries, and over time, stays within the bound."""
        simulation = self.exposure_on_trial(
            entries=10,
            weights=[2.0**-number for number in range(10)],
            rate_at=lambda now: 4.0 if 2.0 < now < 3.0 else 0.3,
            seed=seed,
        )
        check_reverted(simulation)

    # Guards against an entry that goes on with what it heard last.
    def test_cut_off(self, seed):
        """Entries that are cut off send nothing to it after 2 s."""
        simulation = self.exposure_on_trial(
            entries=6, cut=(2, 3, 4), cut_at_s=1.0, seed=seed
        )
        check_reverted(simulation)
        gates = [simulation.gates[number] for number in (2, 3, 4)]
        assert all(
            not gate.rollouts["engines"].may_use_new(simulation.now) for gate in gates
        )

    # Guards against retries that are not counted.
    def test_retries(self, seed):
        """Failures of the old version and their retries stay within the bound."""
        routes = (RouteLoad("lookup", failure_share=0.4),)
        check_reverted(self.exposure_on_trial(routes=routes, seed=seed))


@pytest.mark.parametrize("seed", FEW_SEEDS)
class TestCapacity:
    """New upstreams that come late, or leave."""

    def test_late(self, seed):
        """A version whose upstreams are ready late completes."""
        simulation = Simulation(
            capacity_at=lambda now: 0.3 if now < 8.8 else 1.0, seed=seed
        )
        check_completed(simulation.run())

    def test_falls_on_trial(self, seed):
        """Nothing but the trial share goes to upstreams that are too few."""
        simulation = Simulation(
            capacity_at=lambda now: 1.0 if now < 4.0 else 0.5, seed=seed
        ).run()
        check_reverted(simulation)

    def test_falls_in_handover(self, seed):
        """A completion waits until upstreams that crashed are back."""
        simulation = Simulation(
            capacity_at=lambda now: 0.6 if 9.0 < now < 11.0 else 1.0, seed=seed
        ).run()
        check_completed(simulation)
        assert simulation.ended[1] >= 11.0

    def test_never(self, seed):
        """A version that no upstream runs is reverted at the time limit."""
        simulation = Simulation(capacity_at=lambda now: 0.0, seed=seed).run()
        check_reverted(simulation)
        assert simulation.sent_new == []


@pytest.mark.parametrize("seed", FEW_SEEDS)
class TestStoreAway:
    """A store that can't be reached for a time."""

    def test_short(self, seed):
        """A good version completes if the store is back in time."""
        simulation = Simulation(
            is_store_up=lambda now: not 2.0 < now < 9.0, seed=seed
        ).run()
        check_completed(simulation)

    # Guards against a handover that no status can complete.
    def test_long(self, seed):
        """The trial goes on, and at the store's return it is decided at once."""
        simulation = Simulation(
            is_store_up=lambda now: not 2.0 < now < 14.0, seed=seed
        ).run()
        assert simulation.phase is Phase.REVERTED
        assert simulation.ended[1] < 14.6
        assert simulation.exposure <= 1.0

    def test_bad_version(self, seed):
        """Entries stop a bad version by themselves."""
        simulation = Simulation(
            fault=Fault(failures=0.5, from_s=4.0),
            is_store_up=lambda now: not 2.0 < now < 14.0,
            seed=seed,
        ).run()
        check = [simulation.phase, simulation.late_sends]
        assert check == [Phase.REVERTED, 0]
        assert simulation.exposure <= 1.0
