"""Counts of what a service of the platform was asked."""

from dataclasses import asdict, dataclass

from aiohttp import web


@dataclass
class ServiceStats:
    """Counts of one service's requests and bytes."""

    reads: int = 0
    writes: int = 0
    refused: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    async def record(
        self, request: web.Request, response: web.Response, *, is_write: bool
    ) -> None:
        """Count a request that was applied."""
        if is_write:
            self.writes += 1
        else:
            self.reads += 1
        self.bytes_in += len(await request.read())
        self.bytes_out += len(response.body) if isinstance(response.body, bytes) else 0

    def as_dict(self) -> dict[str, int]:
        """Return the counts by name."""
        return asdict(self)
