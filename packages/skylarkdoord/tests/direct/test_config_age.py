"""Tests of how an entry keeps its configuration recent without calling often."""

import math

import pytest

from skylarkdoord.direct import FleetConfig, Row, Service
from skylarkdoord.direct import _config_age as config_age
from skylarkdoord.direct._config_age import ConfigAge
from skylarkdoord.direct._fleet import CONFIG_KEY, Fleet

from ._make import SERVICE, Clock, make_route


class StubAdapter:
    """Decodes the version of a configuration."""

    def decode_config(self, data):
        """Return a configuration with one service."""
        services = {SERVICE: Service(SERVICE)}
        return FleetConfig(int(data), (make_route(),), services, ())


def make_fleet():
    """Return a fleet without a configuration."""
    return Fleet(StubAdapter())


def put(fleet, version):
    """Put a version in force."""
    fleet.apply_config(Row(CONFIG_KEY, version, b"%d" % version), source="store")


class TestAge:
    """`ConfigAge`."""

    @pytest.fixture
    def clock(self):
        """Return a clock that the test sets."""
        return Clock()

    @pytest.fixture
    def fleet(self):
        """Return a fleet with version 5 in force."""
        fleet = make_fleet()
        put(fleet, 5)
        return fleet

    @pytest.fixture
    def age(self, fleet, clock):
        """Return the age of a configuration for which nobody has vouched."""
        return ConfigAge(fleet, clock=clock)

    def test_unknown(self, age):
        """Without any word of the store, the age has no bound."""
        assert age.age_s() == math.inf
        assert age.age_ms() is None

    def test_own_answer(self, age, clock):
        """An answer of the store vouches for it at that moment."""
        age.on_store_answer()
        clock.now += 2.0
        assert age.age_ms() == 2000

    @pytest.mark.parametrize(
        ("version", "expected_s"), [(4, math.inf), (5, 1.5), (6, math.inf)]
    )
    def test_other_entry(self, age, clock, version, expected_s):
        """The word of an entry counts if it has the same version in force."""
        age.on_update(version, 1.0, sent_at=clock.now - 0.5, source="b")
        assert age.age_s() == pytest.approx(expected_s)

    def test_latest_word(self, age, clock):
        """An older word does not make it older again."""
        age.on_store_answer()
        age.on_update(5, 3.0, sent_at=clock.now, source="b")
        assert age.age_s() == 0.0

    # Guards against an entry that vouches for a version though it refused a newer one.
    def test_refused(self, age, fleet):
        """The store does not vouch for a version that an unreadable one replaced."""
        fleet.apply_config(Row(CONFIG_KEY, 6, b"?"), source="store")
        age.on_store_answer()
        assert age.age_s() == math.inf
        put(fleet, 7)
        age.on_store_answer()
        assert age.age_s() == 0.0

    def test_behind(self, age, fleet, clock):
        """A lag lasts from the first word of a newer version until it is in force."""
        age.on_update(6, 0.0, sent_at=clock.now, source="b")
        clock.now += 2.0
        age.on_update(7, 0.0, sent_at=clock.now, source="c")
        clock.now += 1.0
        assert age.lag_s() == pytest.approx(3.0)
        put(fleet, 6)
        assert age.lag_s() == pytest.approx(3.0)
        put(fleet, 7)
        assert age.lag_s() == 0.0

    def test_limit_grows(self, age):
        """Where updates come rarely, a longer age is usual."""
        assert age.stale_after_s() == config_age.MIN_STALE_AFTER_S
        age.update_interval_s = lambda: 3.0
        assert age.stale_after_s() == pytest.approx(6.5)

    def test_logs(self, age, fleet, clock, monkeypatch):
        """There is a line when it falls behind or becomes stale, and one at the end."""
        names = []
        monkeypatch.setattr(
            age.log, "event", lambda event, **fields: names.append(event.name)
        )
        age.on_store_answer()
        age.check()
        age.on_update(6, 0.0, sent_at=clock.now, source="b")
        clock.now += 4.0
        age.check()
        age.check()
        put(fleet, 6)
        age.on_store_answer()
        age.check()
        assert names == [
            "config_behind",
            "config_stale",
            "config_caught_up",
            "config_confirmed",
        ]
