"""Tests of finding free ports."""

import asyncio
import socket

import pytest

from skylarkdoor_bench._ports import HOST, free_port


class TestFreePort:
    """Tests of `free_port`."""

    async def test_usable(self):
        """A server can listen on a returned port."""
        async with await asyncio.start_server(lambda *_: None, HOST, free_port()):
            pass

    def test_kept_from_others(self):
        """A returned port cannot be reserved by another launcher."""
        port = free_port()
        with socket.socket(type=socket.SOCK_DGRAM) as other:
            with pytest.raises(OSError, match="in use"):
                other.bind((HOST, port))

    def test_distinct(self):
        """No port is returned twice."""
        ports = [free_port() for _ in range(50)]
        assert len(set(ports)) == 50
