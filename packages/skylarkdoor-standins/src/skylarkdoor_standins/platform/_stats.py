"""Counters of the requests to a service of the platform."""

from dataclasses import asdict, dataclass

from aiohttp import web


@dataclass
class ServiceStats:
    """Counters of one service's requests and bytes.

    Attributes:
        reads: The number of reads applied.
        writes: The number of writes applied.
        refused: The number of requests refused because the service was down.
        bytes_in: The total size of the bodies of applied requests.
        bytes_out: The total size of the bodies of their responses.
    """

    reads: int = 0
    writes: int = 0
    refused: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    async def record(
        self, request: web.Request, response: web.Response, *, is_write: bool
    ) -> None:
        """Count an applied request."""
        if is_write:
            self.writes += 1
        else:
            self.reads += 1
        self.bytes_in += len(await request.read())
        self.bytes_out += len(response.body) if isinstance(response.body, bytes) else 0

    def as_dict(self) -> dict[str, int]:
        """Return the counters by name."""
        return asdict(self)
