"""Long streams that are kept open during a measurement."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from skylarkdoor_bench._deployments import api_key
from skylarkdoor_bench._launcher import Cluster

CUSTOMER = "teika-garden"
STREAM_TOKENS = 100_000


class ChunkCounter:
    """Counts the events of one stream."""

    def __init__(self) -> None:
        self.chunks = 0

    async def read(self, answer: aiohttp.ClientResponse) -> None:
        """Count the events until the stream ends."""
        async for line in answer.content:
            if line.startswith(b"data: "):
                self.chunks += 1


@asynccontextmanager
async def open_stream(cluster: Cluster, number: int) -> AsyncIterator[ChunkCounter]:
    """Keep one long stream open while the context is entered."""
    body = {
        "model": "garden-7b",
        "stream": True,
        "max_tokens": STREAM_TOKENS,
        "messages": [{"role": "user", "content": f"stream {number}"}],
    }
    headers = {
        "Authorization": f"Bearer {api_key(CUSTOMER)}",
        "X-Request-Timeout": "100000",
    }
    url = f"{cluster.entry_urls[0]}/v1/chat/completions"
    counter = ChunkCounter()
    async with cluster.session.post(url, json=body, headers=headers) as answer:
        answer.raise_for_status()
        task = asyncio.create_task(counter.read(answer))
        try:
            yield counter
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            answer.close()
