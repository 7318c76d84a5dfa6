"""Short runs in which the configuration changes under faults."""

import pytest

from ._config_run import ConfigSoak

# The wait of watch calls grows with the number of entries.
ENTRIES = 12
SEED = 8


class TestConfigSoak:
    """`ConfigSoak`."""

    # Guards against entries that serve requests by a replaced configuration while a
    # call to the store is never answered.
    @pytest.mark.parametrize("fault", ["lose_answers", "part_in_turn"])
    async def test_dead_connections(self, fault, tmp_path):
        """A version is soon in force though connections to the store are dead."""
        soak = ConfigSoak(SEED, tmp_path, entries=ENTRIES, faults=[fault])
        result = await soak.run(seconds=0.0)
        assert result.broken == []
        assert result.outcomes[200] > 100
