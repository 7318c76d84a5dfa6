"""Tests of `skylarkdoor.suspicion`."""

from hypothesis import given
from hypothesis import strategies as st

from skylarkdoor.suspicion import Suspicions, crash_id, crashed_incarnation

CRASHES = [crash_id("sidecar-1", 1, number) for number in range(4)]
subsets = st.sets(st.sampled_from(CRASHES))


class TestSuspicions:
    """`Suspicions`."""

    def test_counts(self) -> None:
        """One crash makes a request a suspect; a second one quarantines it."""
        suspicions = Suspicions()
        suspicions.merge(7, CRASHES[:1])
        assert suspicions.get(7).is_suspect
        assert not suspicions.get(7).is_quarantined
        suspicions.merge(7, CRASHES[1:2])
        assert suspicions.get(7).is_quarantined

    def test_twice(self) -> None:
        """A crash that is reported twice counts once and is new only once."""
        suspicions = Suspicions()
        assert suspicions.merge(7, CRASHES[:1])
        assert not suspicions.merge(7, CRASHES[:1])
        assert not suspicions.get(7).is_quarantined

    def test_cleared(self) -> None:
        """A cleared crash does not count, even if the clearance arrives first."""
        suspicions = Suspicions()
        suspicions.merge(7, (), CRASHES[:1])
        suspicions.merge(7, CRASHES[:1])
        assert not suspicions.get(7).is_suspect

    def test_old(self) -> None:
        """A crash older than the retention period does not count."""
        suspicions = Suspicions()
        suspicions.merge(7, ["1000/sidecar-1/1/1", "nonsense"])
        assert not suspicions.get(7).is_suspect

    def test_crashed_incarnation(self) -> None:
        """Ids of one crash from different observers name the same incarnation."""
        ids = ("1000/i-1/7/0", "1003/i-1/7/0", "1000/i-1/8/0")
        names = [crashed_incarnation(crash) for crash in ids]
        assert names[0] == names[1] != names[2]

    def test_changed_since(self) -> None:
        """The suspicions changed since a revision are listed, oldest change first."""
        suspicions = Suspicions()
        for fingerprint in (1, 2, 3):
            suspicions.merge(fingerprint, CRASHES[:1])
        since = suspicions.revision
        assert not suspicions.changed_since(since)
        suspicions.merge(3, CRASHES[1:2])
        suspicions.merge(1, CRASHES[1:2])
        suspicions.merge(2, CRASHES[:1])
        changed = suspicions.changed_since(since)
        assert [suspicion.fingerprint for suspicion in changed] == [3, 1]
        assert changed[-1].revision == suspicions.revision

    @given(updates=st.lists(st.tuples(subsets, subsets)), data=st.data())
    def test_order(self, updates, data) -> None:
        """Processes reach the same state whatever the order of the updates."""
        one, other = Suspicions(), Suspicions()
        for crashes, cleared in updates:
            one.merge(7, crashes, cleared)
        for crashes, cleared in data.draw(st.permutations(updates)):
            other.merge_message(_message(crashes, cleared))
        assert one.get(7).open == other.get(7).open


def _message(crashes: set[str], cleared: set[str]):
    sender = Suspicions()
    sender.merge(7, crashes, cleared)
    return sender.get(7).message()
