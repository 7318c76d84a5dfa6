"""Requesters, which send requests over HTTP/1.1 and read the answers."""

import asyncio
import itertools

NUMBERS = itertools.count(1)


def attempt_id():
    """Return an id of its own for one requester attempt."""
    return f"{next(NUMBERS):016x}"


class Answer:
    """What a requester got.

    Attributes:
        status: Status; 0 if the channel closed without an answer.
        is_whole: Whether the body was complete.
        error: Why there is no whole answer; empty if there is one.
    """

    def __init__(self):
        self.status, self.headers, self.body, self.is_whole, self.error = (
            0,
            {},
            b"",
            False,
            "",
        )
        self.events = []

    def __str__(self):
        if not self.status:
            return f"no answer ({self.error})"
        whole = "whole" if self.is_whole else f"cut ({self.error})"
        return f"{self.status}, body {whole}, {len(self.body)} bytes"


class Channel:
    """A requester's channel to an entry."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.reader = self.writer = None

    async def open(self, timeout_s=1.0):
        """Open the channel."""
        async with asyncio.timeout(timeout_s):
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port
            )
        return self

    def send(self, method, path, host, attempt, *, deadline_ms, body=b"", **headers):
        """Send a request."""
        fields = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Attempt-Id: {attempt}",
            f"Deadline-Ms: {deadline_ms}",
        ]
        fields += [
            f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
        ]
        if body or method == "POST":
            fields.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*fields, "", ""]).encode("latin-1") + body)

    async def read(self, on_chunk=None):
        """Read an answer."""
        answer = Answer()
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            line, *fields = head.strip().split("\r\n")
            answer.status = int(line.split(" ")[1])
            answer.headers = {
                f.split(":", 1)[0].lower(): f.split(":", 1)[1].strip() for f in fields
            }
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                while size := int(
                    (await self.reader.readuntil(b"\r\n")).split(b";")[0], 16
                ):
                    chunk = await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                    answer.body += chunk
                    if on_chunk:
                        on_chunk(chunk)
                await self.reader.readuntil(b"\r\n")
            elif "content-length" in answer.headers:
                answer.body = await self.reader.readexactly(
                    int(answer.headers["content-length"])
                )
            else:
                answer.body = await self.reader.read()
            answer.is_whole = True
        except asyncio.IncompleteReadError as error:
            answer.body += error.partial if answer.status else b""
            answer.error = "the channel was closed"
        except (ConnectionError, OSError) as error:
            answer.error = repr(error)
        return answer

    def close(self):
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()


async def call(
    address,
    method,
    path,
    host,
    record,
    *,
    deadline_ms=1000,
    body=b"",
    attempt=None,
    **headers,
):
    """Send one request on a new channel and return the answer."""
    attempt = attempt or attempt_id()
    channel = Channel(address)
    answer = Answer()
    record(f"requester sends {attempt}, {method} {path}, to {address}")
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            await channel.open()
            channel.send(
                method,
                path,
                host,
                attempt,
                deadline_ms=deadline_ms,
                body=body,
                **headers,
            )
            answer = await channel.read()
    except TimeoutError:
        answer.error = "time limit"
    except OSError as error:
        answer.error = repr(error)
    finally:
        channel.close()
    record(f"requester gets for {attempt}: {answer}")
    answer.attempt = attempt
    return answer
