"""Rotation among the endpoints of one service."""

from collections.abc import Iterator, Sequence


class Endpoints:
    """The base URLs of one service, starting with the one that last responded.

    Args:
        urls: Base URLs, at least one.
    """

    def __init__(self, urls: Sequence[str]):
        if not urls:
            raise ValueError("expected at least one endpoint URL")
        self.urls = tuple(url.rstrip("/") for url in urls)
        self._first = 0

    def __iter__(self) -> Iterator[str]:
        """Yield each URL once.

        The next iteration starts with the URL that was yielded last, so that an
        endpoint that works is used again. If all URLs were tried, it starts with
        the second one of this iteration.
        """
        first = self._first
        for offset in range(len(self.urls)):
            self._first = (first + offset) % len(self.urls)
            yield self.urls[self._first]
        self._first = (first + 1) % len(self.urls)
