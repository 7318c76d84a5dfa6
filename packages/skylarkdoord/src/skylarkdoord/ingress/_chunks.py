"""Bodies that arrive in chunks."""

# Smaller chunks are joined once there are this many of them in a row.
SMALL_CHUNK_BYTES = 1024
MAX_SMALL_CHUNKS = 64


class Chunks:
    """The chunks of a body.

    Each object takes some dozen bytes beside its contents, so small chunks are joined
    as they come.
    """

    def __init__(self) -> None:
        self.chunks: list[bytes] = []

    def add(self, chunk: bytes) -> None:
        """Add the next chunk."""
        self.chunks.append(chunk)
        is_due = len(self.chunks) % MAX_SMALL_CHUNKS == 0
        if len(chunk) < SMALL_CHUNK_BYTES and is_due:
            self.join_latest()

    def join_latest(self) -> None:
        """Join the latest chunks if they are small."""
        latest = self.chunks[-MAX_SMALL_CHUNKS:]
        if sum(map(len, latest)) < MAX_SMALL_CHUNKS * SMALL_CHUNK_BYTES:
            self.chunks[-MAX_SMALL_CHUNKS:] = [b"".join(latest)]

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.chunks)
