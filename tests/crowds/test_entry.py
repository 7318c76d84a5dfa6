"""Tests of an entry beside callers that don't behave, as a process of its own.

Crowds are as large as the entry's descriptors or send over four times its memory;
only bodies in tiny chunks, which cost more time than memory, send twice as much.
"""

import pytest

from ._crowd import FIELDS, KIB, MEMORY_MB, MIB, SLOTS, Crowd

GET = f"GET /desk/1 HTTP/1.1\r\n{FIELDS}"
LARGE = f"GET /desk/large HTTP/1.1\r\n{FIELDS}\r\n"
REFUSED = f"GET /absent HTTP/1.1\r\n{FIELDS}\r\n"
POST = f"POST /desk/1 HTTP/1.1\r\n{FIELDS}"
CHUNKED = f"{POST}Transfer-Encoding: chunked\r\n\r\n"
CROWD_MB = 4 * MEMORY_MB
FIELD = "X-Noise: " + "y" * 89 + "\r\n"
MIB_OF_FIELDS = MIB // len(FIELD)
# Bodies of 4 MiB.
LARGE_BODIES = CROWD_MB // 2
# A few connections for each place at the server.
FEW = 4 * SLOTS
# Two clients, as many systems allow a process 1,024 descriptors.
MOST = {"connections": 450, "clients": 2}
OVER = {"connections": 600, "clients": 2}


def post(size):
    """Return the head of a request with a body of a size in bytes."""
    return f"{POST}Content-Length: {size}\r\n\r\n"


def bodies(size, **changes):
    """Return a crowd whose bodies stop one byte short."""
    return Crowd(begin=post(size), repeated="x", repeats=size - 1, **changes)


CROWDS = {
    # Guards against memory held by heads over the limit.
    "heads_over_limit": Crowd(CROWD_MB, GET, FIELD, MIB_OF_FIELDS, "\r\n", reads=True),
    # Guards against memory held by one field that never ends.
    "endless_field": Crowd(CROWD_MB, GET + "X-Noise: ", "y", MIB),
    # Guards against memory held by a head whose fields never end.
    "endless_fields": Crowd(CROWD_MB, GET, FIELD, MIB_OF_FIELDS),
    # Guards against memory held by a request line that never ends.
    "endless_line": Crowd(CROWD_MB, "GET /desk/", "y", MIB),
    # Guards against memory held by heads of legal size that are never completed.
    "heads_short": Crowd(
        begin=GET + "X-Noise: ", repeated="y", repeats=31 * KIB, **MOST
    ),
    # Guards against memory held by heads over the limit that are never completed.
    "long_heads_short": Crowd(
        begin=GET + "X-Noise: ", repeated="y", repeats=60 * KIB, **MOST
    ),
    # Guards against time and memory spent on empty lines before a request.
    "empty_lines": Crowd(CROWD_MB, repeated="\r\n", repeats=MIB // 2),
    # Guards against memory held by many bodies of legal size, each of them whole.
    "bodies_whole": Crowd(
        LARGE_BODIES, post(4 * MIB), "x", 4 * MIB, piece_bytes=4 * MIB, reads=True
    ),
    # Guards against memory held by the same bodies while they arrive piece by piece.
    "bodies_in_pieces": Crowd(LARGE_BODIES, post(4 * MIB), "x", 4 * MIB, reads=True),
    # Guards against memory held by large bodies that stop one byte short.
    "large_bodies_short": bodies(4 * MIB, connections=LARGE_BODIES),
    # Guards against memory held by many small bodies that stop one byte short.
    "small_bodies_short": bodies(64 * KIB, **MOST),
    # Guards against an event loop that stands still for chunks of one byte.
    "chunks_of_one_byte": Crowd(CROWD_MB // 2, CHUNKED, "1\r\nx\r\n", MIB // 6),
    # Guards against memory held by a trailer that never ends.
    "endless_trailer": Crowd(CROWD_MB, f"{CHUNKED}0\r\nX-Noise: ", "y", MIB),
    # Guards against memory held by trailers without end.
    "endless_trailers": Crowd(CROWD_MB, f"{CHUNKED}0\r\n", FIELD, MIB_OF_FIELDS),
    # Guards against memory held by an extension of a chunk that never ends.
    "endless_extension": Crowd(CROWD_MB, f"{CHUNKED}5;", "y", MIB),
    # Guards against connections that send nothing and take all descriptors.
    "silent": Crowd(**OVER),
    # Guards against memory held by large answers that are asked for and not read.
    "large_answers_unread": Crowd(FEW, repeated=LARGE, repeats=200),
    # Guards against memory and time spent on refusals that are not read.
    "refusals_unread": Crowd(FEW, repeated=REFUSED, repeats=10_000),
    # Guards against memory held by requests with bodies whose answers are not read.
    "posts_unread": Crowd(FEW, repeated=post(4 * KIB) + "x" * 4 * KIB, repeats=1000),
}


class TestCrowds:
    """An entry beside a crowd of one kind."""

    @pytest.mark.parametrize("name", CROWDS)
    async def test_crowd(self, entry, name):
        """The entry stays within its limits and answers an ordinary request."""
        outcome = await entry.meet(CROWDS[name])
        print(outcome)
        assert not outcome.faults(), outcome
