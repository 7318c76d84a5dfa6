"""Tests of the line numbers of keys."""

import json

from hypothesis import given
from hypothesis import strategies as st

from skylarkdoor.settings._lines import key_lines, nearest_line

NAMES = st.text(min_size=1, max_size=6)
DOCUMENTS = st.dictionaries(
    NAMES,
    st.recursive(
        st.none() | st.integers() | st.text(max_size=6),
        lambda inner: (
            st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=3)
        ),
        max_leaves=12,
    ),
    max_size=4,
)


def paths_of(value, keys=()):
    """Yield the keys that lead to each member and item."""
    if isinstance(value, dict):
        pairs = value.items()
    elif isinstance(value, list):
        pairs = ((str(index), item) for index, item in enumerate(value))
    else:
        return
    for key, item in pairs:
        yield (*keys, key)
        yield from paths_of(item, (*keys, key))


class TestKeyLines:
    """`key_lines`."""

    @given(DOCUMENTS)
    def test_every_path(self, document):
        """Every path has a line number, and a member's line contains its key."""
        text = json.dumps(document, indent=1, ensure_ascii=False)
        lines = key_lines(text)
        assert set(lines) == set(paths_of(document))
        rows = text.split("\n")
        for keys, line in lines.items():
            is_member = not keys[-1].isdigit()
            assert (
                not is_member
                or json.dumps(keys[-1], ensure_ascii=False) in rows[line - 1]
            )


class TestNearestLine:
    """`nearest_line`."""

    def test_missing(self):
        """A path that is not in the document has the line of its parent."""
        lines = {("a",): 2, ("a", "b"): 3}
        assert nearest_line(lines, ("a", "c")) == 2
        assert nearest_line(lines, ("z",)) == 1
