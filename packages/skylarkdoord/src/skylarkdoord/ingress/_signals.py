"""Shows in metrics what callers' connections do and cost."""

import asyncio

from skylarkdoord.ingress._metrics import CONNECTIONS, LIMIT, READ_SECONDS
from skylarkdoord.ingress._state import Phase
from skylarkdoord.ingress._table import ConnectionTable

SAMPLE_INTERVAL_S = 1.0


class IngressSignals:
    """Samples the connections of callers.

    Args:
        table: All connections of callers.
    """

    def __init__(self, table: ConnectionTable) -> None:
        self.table = table
        self.counted_s = 0.0

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Set the metrics."""
        phases = self.table.phases()
        for phase in Phase:
            CONNECTIONS.labels(phase.value).set(phases[phase])
        LIMIT.set(self.table.limit.max_connections)
        spent_s = self.table.reads.share.spent_s
        READ_SECONDS.inc(spent_s - self.counted_s)
        self.counted_s = spent_s
