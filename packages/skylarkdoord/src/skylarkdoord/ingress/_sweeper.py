"""Closes connections of callers that take too long."""

import asyncio

from skylarkdoord.ingress._deadlines import SWEEP_INTERVAL_S
from skylarkdoord.ingress._table import ConnectionTable


class ConnectionSweeper:
    """Looks at all connections of callers at an interval.

    Args:
        table: The connections.
    """

    def __init__(self, table: ConnectionTable) -> None:
        self.table = table

    async def run(self) -> None:
        """Look at the connections until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Close the connections that are overdue."""
        self.table.clock.tick()
        now = self.table.clock()
        limits = self.table.limits()
        for connection in self.table:
            connection.close_overdue(limits, now)
