"""Asks an upstream's address whether it accepts connections."""

import asyncio

from skylarkdoord.direct._model import UpstreamRecord

CONNECT_TIMEOUT_S = 0.5


async def is_down(record: UpstreamRecord) -> bool:
    """Return whether an upstream does not accept connections."""
    host, _, port = record.address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return True
    writer.close()
    return False
