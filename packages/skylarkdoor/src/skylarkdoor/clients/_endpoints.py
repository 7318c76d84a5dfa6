"""Rotation among the addresses of one service."""

from collections.abc import Iterator, Sequence


class Endpoints:
    """The base URLs of one service, the one that last answered first.

    Args:
        urls: Base URLs, at least one.
    """

    def __init__(self, urls: Sequence[str]):
        if not urls:
            raise ValueError("a service needs at least one endpoint")
        self.urls = tuple(url.rstrip("/") for url in urls)
        self._first = 0

    def __iter__(self) -> Iterator[str]:
        """Yield each URL once, and begin with the last one yielded next time."""
        first = self._first
        for offset in range(len(self.urls)):
            self._first = (first + offset) % len(self.urls)
            yield self.urls[self._first]
        self._first = (first + 1) % len(self.urls)
