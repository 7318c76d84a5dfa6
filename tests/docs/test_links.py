"""Links between the documentation pages."""

import pytest

from ._pages import links, pages


class TestLinks:
    """Relative links of every page."""

    @pytest.mark.parametrize("page", pages(), ids=lambda page: page.name)
    def test_exist(self, page):
        """The target of each link exists."""
        targets = [link.partition("#")[0] for link in links(page)]
        missing = [target for target in targets if not (page.parent / target).exists()]
        assert missing == []
