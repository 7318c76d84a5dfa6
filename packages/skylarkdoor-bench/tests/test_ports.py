"""Free ports."""

import socket

from skylarkdoor_bench._ports import HOST, free_port


class TestFreePort:
    """`free_port`."""

    def test_usable(self):
        """A port can be listened on."""
        with socket.socket() as server:
            server.bind((HOST, free_port()))

    def test_distinct(self):
        """No port is given twice."""
        ports = [free_port() for _ in range(50)]
        assert len(set(ports)) == 50
