"""Dispatches over connections to a sidecar that stay open."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from skylarkdoord.common import _headers as headers
from skylarkdoord.entry._dispatch import Dispatcher
from skylarkdoord.entry._offers import AcceptedGrant
from skylarkdoord.entry._suspects import SuspectRelay
from skylarkdoord.exceptions import NotRunError, OutcomeUnknownError

from .._loopback import LoopbackServer

GRANT = 7
INCARNATION = 3
# Time for which a request runs.
RUN_S = 0.1


def response(status, body, *fields):
    """Return a response with a JSON body that leaves the connection open."""
    data = json.dumps(body).encode()
    lines = (f"HTTP/1.1 {status}", f"Content-Length: {len(data)}", *fields)
    head = "\r\n".join((*lines, "Content-Type: application/json", "", ""))
    return head.encode() + data


def refusal(request_id):
    """Return a sidecar's refusal of a request that was not run."""
    document = {
        "code": "grant_lapsed",
        "message": "lapsed",
        "retry_after_s": None,
        "final": False,
    }
    fields = (f"{headers.NOT_RUN}: 1", f"{headers.REQUEST_ID}: {request_id}")
    return response("503 Unavailable", document, *fields)


class RepeatingSidecar(LoopbackServer):
    """A sidecar that refuses the first request and writes this refusal once more.

    It runs all others.

    Args:
        pause_s: Pause before the refusal is written again, in seconds.
        pieces: Number of pieces in which it is written.

    Attributes:
        dispatched: Requests that it ran.
    """

    def __init__(self, pause_s, pieces):
        self.pause_s = pause_s
        self.pieces = pieces
        self.dispatched = []
        self.repeated = b""

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.lower().split(": ", 1)
                    for line in head.split("\r\n")[1:]
                    if line
                )
                await reader.readexactly(int(fields.get("content-length", 0)))
                await self.answer(head.split(" ")[1], writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, path, writer):
        """Answer one request."""
        request_id = path.rpartition("/")[2]
        own = f"{headers.REQUEST_ID}: {request_id}"
        if path.startswith("/internal/outcome"):
            phase = "dispatched" if request_id in self.dispatched else "tombstoned"
            document = {"phase": phase, "crashes": []}
            writer.write(response("200 OK", document, own))
        elif not self.repeated:
            self.repeated = refusal(request_id)
            writer.write(self.repeated)
            asyncio.create_task(self.repeat(writer))
        else:
            self.dispatched.append(request_id)
            await asyncio.sleep(RUN_S)
            writer.write(response("200 OK", {"answer": request_id}, own))
        await writer.drain()

    async def repeat(self, writer):
        """Write the first refusal once more."""
        await asyncio.sleep(self.pause_s)
        size = -(-len(self.repeated) // self.pieces)
        for at in range(0, len(self.repeated), size):
            writer.write(self.repeated[at : at + size])
            await asyncio.sleep(0.01)


@pytest.fixture
async def dispatcher():
    """Return a dispatcher without TLS."""
    tls = SimpleNamespace(
        request_arguments=lambda instance: {}, url=lambda address: f"http://{address}"
    )
    dispatcher = Dispatcher(tls, SuspectRelay(lambda: ()))
    yield dispatcher
    await dispatcher.close()


class TestRefusalSentTwice:
    """A sidecar, or what stands before it, writes a refusal once more."""

    # Guards against the report: callers are told that a request was not run, although
    # it was, or it runs at a second server.
    @pytest.mark.parametrize("pause_s", [0.0, 0.05])
    @pytest.mark.parametrize("pieces", [1, 2])
    @pytest.mark.parametrize("gap_s", [0.0, 0.03, 0.2])
    async def test_believed_once(
        self, dispatcher, make_request, make_peer, pause_s, pieces, gap_s
    ):
        """The next requests are answered, or their outcome is unknown if they ran."""
        async with RepeatingSidecar(pause_s, pieces) as sidecar:
            peer = make_peer("sidecar-1")
            peer.record = peer.record._replace(http=sidecar.address)
            accepted = AcceptedGrant(peer, GRANT, INCARNATION)
            with pytest.raises(NotRunError):
                await dispatcher.send(make_request(), accepted)
            for _ in range(3):
                await asyncio.sleep(gap_s)
                request = make_request()
                try:
                    delivery = await dispatcher.send(request, accepted)
                    body = json.loads(await delivery.read_body())
                    delivery.close()
                    assert body == {"answer": request.request_id}
                except OutcomeUnknownError:
                    pass
                except NotRunError:
                    assert request.request_id not in sidecar.dispatched

    # Guards against an outcome of another request being taken for one's own.
    async def test_outcome_of_another(self, dispatcher, make_request, make_peer):
        """An outcome that names another request is not used."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            document = {"phase": "tombstoned", "crashes": []}
            other = f"{headers.REQUEST_ID}: other"
            writer.write(response("200 OK", document, other))
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            host, port = server.sockets[0].getsockname()
            peer = make_peer("sidecar-1")
            peer.record = peer.record._replace(http=f"{host}:{port}")
            accepted = AcceptedGrant(peer, GRANT, INCARNATION)
            outcome = await dispatcher.query_outcome("POST", make_request(), accepted)
        assert outcome is None
