"""Fixture: a scheduler whose upstream is up, without running services."""

import pytest

from skylarkdoor.settings import (
    FLEET_PATH,
    Fleet,
    Listen,
    PlatformAddresses,
    Pool,
    ProcessSettings,
    SettingsView,
    Subtree,
    Tier,
    Upstream,
)
from skylarkdoord.sidecar import Scheduler

URL = "http://127.0.0.1:1"


class FixedSettings:
    """Stands in for the settings service, with constant settings."""

    def __init__(self, pool):
        self.view = SettingsView()
        tiers = {f"tier-{rank}": Tier(rank=rank) for rank in range(4)}
        fleet = Fleet(tiers=tiers, pools={"assistant": pool})
        self.view.apply(Subtree(FLEET_PATH, 1, fleet))


@pytest.fixture
def make_scheduler():
    """Return a function that makes schedulers."""

    def make(**fields):
        pool = Pool(kind="model", models=("garden-7b",), **fields)
        settings = ProcessSettings(
            instance="sidecar-1",
            data_centre="teika",
            listen=Listen(internal="127.0.0.1:1", rpc="127.0.0.1:2"),
            platform=PlatformAddresses((URL,), URL, URL, URL),
            upstream=Upstream(URL, "assistant"),
        )
        scheduler = Scheduler(settings)
        scheduler.settings_service = FixedSettings(pool)
        scheduler.apply_settings()
        scheduler.set_upstream(True)
        return scheduler

    return make
