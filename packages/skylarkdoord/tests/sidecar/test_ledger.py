"""Tests of `skylarkdoord.sidecar._ledger`."""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from skylarkdoord.exceptions import TransitionError
from skylarkdoord.sidecar import _ledger
from skylarkdoord.sidecar._ledger import GRANT_TIMEOUT_S, Ledger, Phase

INCARNATION = 7
IDS = ("request-1", "request-2")
backs = st.integers(0, 2)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Replace the ledger's clock by a list with the time, which a test may change."""
    now = [1000.0]
    monkeypatch.setattr(_ledger.time, "monotonic", lambda: now[0])
    return now


def granted(ledger: Ledger, request_id: str = IDS[0]) -> int:
    """Grant a request and return the grant's number."""
    ledger.wait(request_id)
    return ledger.grant(request_id)


def finished(ledger: Ledger, request_id: str) -> int:
    """Run a request to its end and return its grant's number."""
    grant = granted(ledger, request_id)
    ledger.accept(request_id, grant, INCARNATION)
    ledger.dispatch(request_id)
    ledger.finish(request_id, "status 200")
    return grant


class TestAccept:
    """Acceptance of request bodies."""

    def test_in_force(self) -> None:
        """A body is accepted once."""
        ledger = Ledger(INCARNATION)
        grant = granted(ledger)
        ledger.accept(IDS[0], grant, INCARNATION)
        with pytest.raises(TransitionError):
            ledger.accept(IDS[0], grant, INCARNATION)

    def test_other_incarnation(self) -> None:
        """A grant of another incarnation is rejected."""
        ledger = Ledger(INCARNATION)
        with pytest.raises(TransitionError):
            ledger.accept(IDS[0], granted(ledger), INCARNATION - 1)

    def test_expired_while_paused(self, clock: list[float]) -> None:
        """An expired grant is rejected even if no timer has run yet."""
        ledger = Ledger(INCARNATION)
        grant = granted(ledger)
        clock[0] += GRANT_TIMEOUT_S + 0.1
        with pytest.raises(TransitionError):
            ledger.accept(IDS[0], grant, INCARNATION)

    def test_earlier_grant(self) -> None:
        """A released grant isn't valid for a later grant of the same request."""
        ledger = Ledger(INCARNATION)
        first = granted(ledger)
        ledger.release(IDS[0])
        granted(ledger)
        with pytest.raises(TransitionError):
            ledger.accept(IDS[0], first, INCARNATION)


class TestEviction:
    """Eviction of ended requests."""

    def test_ended_long_ago(self, clock: list[float]) -> None:
        """A finished request may be evicted after the retention time."""
        ledger = Ledger(INCARNATION)
        first = finished(ledger, IDS[0])
        assert not ledger.may_be_evicted(IDS[0], first)
        clock[0] += _ledger.RETENTION_S + 1.0
        second = finished(ledger, IDS[1])
        assert ledger.may_be_evicted(IDS[0], first)
        assert not ledger.may_be_evicted(IDS[1], second)
        assert not ledger.may_be_evicted("request-3", second + 1)


class LedgerMachine(RuleBasedStateMachine):
    """Transitions of recent requests in any order, each allowed or rejected."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = Ledger(INCARNATION)
        self.ids = ["request-0"]
        self.runs: Counter[str] = Counter()
        self.not_run: set[str] = set()

    def attempt(self, move, *arguments: object) -> bool:
        """Make a transition; returns whether it was allowed."""
        try:
            move(*arguments)
        except TransitionError:
            return False
        return True

    def pick(self, back: int) -> str:
        """Return one of the latest requests."""
        return self.ids[-1 - min(back, len(self.ids) - 1)]

    @rule(moves=st.integers(0, 3))
    def begin(self, moves: int) -> None:
        """A new request arrives and makes some transitions."""
        self.ids.append(f"request-{len(self.ids)}")
        self.ledger.wait(self.ids[-1])
        if moves >= 1:
            self.grant(0)
        if moves >= 2:
            self.accept(0, 0)
        if moves >= 3:
            self.dispatch(0, True)

    @rule(back=backs)
    def wait(self, back: int) -> None:
        """An offer is repeated."""
        self.ledger.wait(self.pick(back))

    @rule(back=backs)
    def grant(self, back: int) -> None:
        """A request is granted."""
        self.attempt(self.ledger.grant, self.pick(back))

    @rule(back=backs, late=st.sampled_from([0, 0, 0, 1]))
    def accept(self, back: int, late: int) -> None:
        """A body arrives with the current or an earlier grant."""
        request_id = self.pick(back)
        record = self.ledger.find(request_id)
        if record is not None:
            grant = record.grant - late
            self.attempt(self.ledger.accept, request_id, grant, INCARNATION)

    @rule(back=backs, reached=st.booleans())
    def dispatch(self, back: int, reached: bool) -> None:
        """A request is dispatched; the upstream may be unreachable."""
        request_id = self.pick(back)
        if not self.attempt(self.ledger.dispatch, request_id):
            return
        assert request_id not in self.not_run
        if reached:
            self.runs[request_id] += 1
        else:
            self.ledger.undo_dispatch(request_id)
        assert self.runs[request_id] <= 1

    @rule(back=backs)
    def finish(self, back: int) -> None:
        """The upstream responds."""
        self.attempt(self.ledger.finish, self.pick(back), "status 200")

    @rule(back=backs)
    def release(self, back: int) -> None:
        """The entry withdraws the offer or the grant."""
        self.attempt(self.ledger.release, self.pick(back))

    @rule(back=backs)
    def tombstone(self, back: int) -> None:
        """The entry queries the outcome."""
        request_id = self.pick(back)
        if self.ledger.tombstone(request_id) is Phase.TOMBSTONED:
            self.not_run.add(request_id)
            assert self.runs[request_id] == 0
        else:
            assert self.runs[request_id] == 1


class TestMachine(LedgerMachine.TestCase):
    """A request is dispatched at most once, and never after a tombstone."""

    settings = settings(
        max_examples=300, stateful_step_count=30, deadline=None, derandomize=True
    )
