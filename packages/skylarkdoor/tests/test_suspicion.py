"""Tests of `skylarkdoord.common._suspicion`."""

from hypothesis import given
from hypothesis import strategies as st

from skylarkdoord.common import Suspicions, crash_id

CRASHES = [crash_id("sidecar-1", 1, number) for number in range(4)]
subsets = st.sets(st.sampled_from(CRASHES))


class TestSuspicions:
    """What a process hears of suspects."""

    def test_counts(self) -> None:
        """One crash makes a suspect, a second one quarantines it."""
        known = Suspicions()
        known.learn(7, CRASHES[:1])
        assert known.of(7).is_suspect
        assert not known.of(7).is_quarantined
        known.learn(7, CRASHES[1:2])
        assert known.of(7).is_quarantined

    def test_twice(self) -> None:
        """The same crash told twice counts once and is no news."""
        known = Suspicions()
        assert known.learn(7, CRASHES[:1])
        assert not known.learn(7, CRASHES[:1])
        assert not known.of(7).is_quarantined

    def test_cleared(self) -> None:
        """A cleared crash no longer counts, whichever is heard first."""
        known = Suspicions()
        known.learn(7, (), CRASHES[:1])
        known.learn(7, CRASHES[:1])
        assert not known.of(7).is_suspect

    def test_old(self) -> None:
        """A crash of long ago does not count."""
        known = Suspicions()
        known.learn(7, ["1000/sidecar-1/1/1", "nonsense"])
        assert not known.of(7).is_suspect

    @given(told=st.lists(st.tuples(subsets, subsets)), data=st.data())
    def test_order(self, told, data) -> None:
        """Whatever the order of what is told, all come to know the same."""
        one, other = Suspicions(), Suspicions()
        for crashes, cleared in told:
            one.learn(7, crashes, cleared)
        for crashes, cleared in data.draw(st.permutations(told)):
            other.hear(_told(crashes, cleared))
        assert one.of(7).open == other.of(7).open


def _told(crashes: set[str], cleared: set[str]):
    teller = Suspicions()
    teller.learn(7, crashes, cleared)
    return teller.of(7).message()
