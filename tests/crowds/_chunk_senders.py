"""Callers that send bodies in chunks of one byte, in a process of their own.

Run as `python _chunk_senders.py HOST PORT NUMBER SECONDS`.
"""

import asyncio
import contextlib
import sys

HEAD = (
    b"POST /nothing/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: crowd\r\n"
    b"Deadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n"
)
BLOCK_CHUNKS = 8192
BLOCK = b"1\r\nx\r\n" * BLOCK_CHUNKS
BODY_BLOCKS = 1024 * 1024 // BLOCK_CHUNKS
RECONNECT_S = 0.05


async def send_bodies(host, port):
    """Send one body after another on a connection until it is closed."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        while True:
            writer.write(HEAD)
            for _ in range(BODY_BLOCKS):
                writer.write(BLOCK)
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2].split()[0]
            await reader.readexactly(int(length))
    finally:
        writer.close()


async def go_on(host, port):
    """Send bodies, on a new connection whenever one is closed."""
    while True:
        with contextlib.suppress(OSError, EOFError, IndexError):
            await send_bodies(host, port)
        await asyncio.sleep(RECONNECT_S)


async def main(host, port, number, duration_s):
    """Run a number of callers for a time in seconds."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(duration_s), asyncio.TaskGroup() as callers:
            for _ in range(number):
                callers.create_task(go_on(host, port))


if __name__ == "__main__":
    _, host, port, number, duration_s = sys.argv
    asyncio.run(main(host, int(port), int(number), float(duration_s)))
