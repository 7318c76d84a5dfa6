"""Links between pages."""

import pytest

from ._pages import links, pages


class TestLinks:
    """Relative links of every page."""

    @pytest.mark.parametrize("page", pages(), ids=lambda page: page.name)
    def test_exist(self, page):
        """A link leads to something in the repository."""
        targets = [link.partition("#")[0] for link in links(page)]
        gone = [target for target in targets if not (page.parent / target).exists()]
        assert gone == []
