"""Run `skylarkdoord` with some of its outgoing connections led through proxies.

The first argument is a JSON file that maps addresses to those of proxies. An entry
tells other entries the address on which it listens, so they would bypass a proxy in
front of it.
"""

import asyncio
import json
import sys
from pathlib import Path

from skylarkdoord._start import main


def lead_through_proxies(proxies):
    """Connect to the proxies of addresses instead of to the addresses."""
    create_connection = asyncio.BaseEventLoop.create_connection

    async def create_led_connection(loop, factory, host=None, port=None, **options):
        proxy = proxies.get(f"{host}:{port}")
        if proxy is not None:
            host, _, port = proxy.rpartition(":")
        return await create_connection(loop, factory, host, port, **options)

    asyncio.BaseEventLoop.create_connection = create_led_connection


if __name__ == "__main__":
    lead_through_proxies(json.loads(Path(sys.argv.pop(1)).read_text()))
    main()
