"""Servers whose answers have bodies or trailers that they may not have."""

import pytest

from ._raw_answers import (
    BODY,
    CHUNKED,
    KINDS,
    LENGTH,
    WHOLE_CHUNKS,
    call,
    check_lost,
    send,
    with_lines,
)
from ._standins import SIGNATURE, Server, chunk, signed


class TestWithoutBody:
    """Answers of which the status allows no body, with one."""

    # Guards against bytes that are taken for a part of an answer.
    @pytest.mark.parametrize("kind", ["idempotent", "once"])
    @pytest.mark.parametrize("pieces", [1, 10_000])
    @pytest.mark.parametrize("status", ["204 None", "304 Same"])
    @pytest.mark.parametrize("framing", [LENGTH, CHUNKED, b"X-Field: 1"])
    async def test_body(self, start, kind, pieces, status, framing):
        """The body is dropped, or the answer is lost."""

        def answer(request):
            return signed(request, framing.decode(), status=status) + WHOLE_CHUNKS

        async with Server(send(answer, pieces)) as server:
            async with start([KINDS[kind]], [server]) as caller:
                got, fields, body = await call(caller)
                if got != 502:
                    assert (got, body) == (int(status[:3]), b"")
                    assert fields["Server-Signature"] == SIGNATURE
                else:
                    check_lost(got, fields, body)


class TestTrailers:
    """Chunked answers with fields after the body."""

    @staticmethod
    def answer(trailer):
        """Return a chunked answer that ends with lines."""
        chunks = chunk(BODY) + b"0\r\n" + trailer + b"\r\n"
        return with_lines(CHUNKED, body=chunks)

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("trailer", [b"X-Field: 1\r\n", b"A: b\r\nC: d\r\n"])
    async def test_valid(self, start, kind, trailer):
        """They are dropped."""
        async with Server(send(self.answer(trailer))) as server:
            async with start([KINDS[kind]], [server]) as caller:
                status, fields, body = await call(caller)
        assert (status, body) == (200, BODY)
        assert "X-Field" not in fields

    @pytest.mark.parametrize("pieces", [1, 10_000])
    @pytest.mark.parametrize("kind", ["idempotent", "once"])
    @pytest.mark.parametrize(
        "trailer",
        [
            b"X Field: 1\r\n",
            b"X-Field\r\n",
            b" X-Field: 1\r\n",
            b"Content-Length: 3\r\n",
            b"Transfer-Encoding: gzip\r\n",
            b"Not-Executed: 1\r\n",
            b"HTTP/1.1 500 Error\r\n",
        ],
    )
    async def test_invalid(self, start, kind, pieces, trailer):
        """The answer is whole, or lost."""
        async with Server(send(self.answer(trailer), pieces)) as server:
            async with start([KINDS[kind]], [server]) as caller:
                status, fields, body = await call(caller)
        assert "Not-Executed" not in fields
        if status == 200:
            assert body == BODY
        else:
            check_lost(status, fields, body)
