"""TCP relay that counts the bytes forwarded between a process and its peers."""

import asyncio
from typing import Self

_CHUNK_BYTES = 64 * 1024
_HOST = "127.0.0.1"


class CountingRelay:
    """Listens on a free port and forwards connections to one address.

    Args:
        target: Address to which connections are forwarded, as `host:port`.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.forwarded_bytes = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self._handle_connection, _HOST, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{_HOST}:{port}"
        return self

    async def __aexit__(self, *error: object) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        self.writers += [writer, target_writer]
        await asyncio.gather(
            self._forward(reader, target_writer), self._forward(target_reader, writer)
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                self.forwarded_bytes += len(chunk)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
