"""What the attempts of requests tell about a version on trial."""

import asyncio

import pytest
from aiohttp import web

from skylarkdoord.direct import StoreVersion
from skylarkdoord.direct.exceptions import (
    AnswerTruncatedError,
    FirstByteTimeoutError,
    UpstreamFailedError,
    UpstreamNotRunError,
    UpstreamSilentError,
    VersionGoneError,
)
from skylarkdoord.direct.rollout_services import _attempts as module
from skylarkdoord.direct.rollout_services._attempts import RolloutAttempts
from skylarkdoord.direct.rollouts import (
    Decision,
    Phase,
    RolloutBounds,
    RolloutGate,
    RolloutOrder,
    Versions,
)

from ._make import SERVICE, Clock, make_admitted, make_record

ORDER = RolloutOrder(SERVICE, "v2", 12.0, StoreVersion(0, 5))
TRIAL = Decision(ORDER, Phase.TRIAL, 0.05, 0.0, 1)
RECORD = make_record("new", version="v2")


@pytest.fixture(autouse=True)
def no_delay(monkeypatch):
    """Let probes follow at once."""
    monkeypatch.setattr(module, "PROBE_DELAY_S", 0.0)


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


@pytest.fixture
def gate(clock):
    """Return a gate with a version on trial."""
    gate = RolloutGate(RolloutBounds(0.1, 50.0, 5.0), "a")
    gate.apply(TRIAL, clock())
    return gate


def make_attempts(gate, clock, *, is_down=False):
    """Return attempts at upstreams that are up or down."""

    async def probe(record):
        return is_down

    return RolloutAttempts(gate, clock=clock, probe=probe)


async def observe(attempts, error=None, status=200):
    """Make an attempt that ends so; return the answers and failures that it counts."""
    try:
        with attempts.observe(make_admitted(), RECORD, is_first=True) as observed:
            observed.status = status
            if error is not None:
                raise error
    except BaseException as caught:
        assert caught is error
    await asyncio.gather(*attempts.probes)
    cells = attempts.gate.report(SERVICE).cells.values()
    return sum(c.answers for c in cells), sum(c.failures for c in cells)


class TestEvidence:
    """Answers that count and others that don't."""

    @pytest.mark.parametrize(
        ("error", "status", "counted"),
        [
            (None, 200, (1, 0)),
            (None, 404, (1, 0)),
            (None, 500, (1, 1)),
            (UpstreamFailedError(web.Response(status=500)), 0, (1, 1)),
            (FirstByteTimeoutError("late"), 0, (1, 1)),
            (TimeoutError(), 0, (1, 1)),
            (AnswerTruncatedError("cut"), 0, (1, 1)),
            (UpstreamSilentError("closed"), 0, (1, 1)),
            (UpstreamNotRunError("full", "503", reached=True), 0, (0, 0)),
            (asyncio.CancelledError(), 0, (0, 0)),
        ],
    )
    async def test_outcome(self, gate, clock, error, status, counted):
        """Failures of the version count; refusals and callers that left don't."""
        assert await observe(make_attempts(gate, clock), error, status) == counted

    # Guards against a good version that is reverted as a link or a machine fails.
    @pytest.mark.parametrize("kind", [AnswerTruncatedError, UpstreamSilentError])
    async def test_down(self, gate, clock, kind):
        """A lost answer of an upstream that can't be reached is no evidence."""
        attempts = make_attempts(gate, clock, is_down=True)
        assert await observe(attempts, kind("lost")) == (0, 0)

    @pytest.mark.parametrize("error", [None, TimeoutError(), asyncio.CancelledError()])
    async def test_running(self, gate, clock, error):
        """However an attempt ends, nothing runs afterwards."""
        await observe(make_attempts(gate, clock), error)
        assert not gate.running[SERVICE].counts
        assert gate.report(SERVICE).sent_new == 1


class TestChoice:
    """Versions to which requests may be sent."""

    async def test_without(self):
        """Without roll-outs, everything may be sent anywhere."""
        attempts = RolloutAttempts()
        admitted = make_admitted()
        assert attempts.versions_for(admitted, is_first=True) == Versions()
        assert attempts.may_send(admitted, RECORD, is_bound=False)
        attempts.check_resumption(admitted, "v2")
        with attempts.observe(admitted, RECORD, is_first=True) as observed:
            observed.on_stream_event()

    async def test_trial(self, gate, clock):
        """Another attempt goes to the old version."""
        attempts = make_attempts(gate, clock)
        versions = attempts.versions_for(make_admitted(), is_first=False)
        assert not versions.allows("v2")
        assert versions.allows("v1")

    # Guards against requests that are sent after a decision was heard of.
    @pytest.mark.parametrize(
        ("phase", "old", "new"),
        [
            (Phase.TRIAL, True, True),
            (Phase.HANDOVER, False, True),
            (Phase.COMPLETED, False, True),
            (Phase.REVERTED, True, False),
        ],
    )
    async def test_decided_meanwhile(self, gate, clock, phase, old, new):
        """A slot that was granted before a decision is not used against it."""
        attempts = make_attempts(gate, clock)
        attempts.new_instances = lambda service: ["new"]
        gate.apply(TRIAL._replace(phase=phase, step=1), clock())
        admitted = make_admitted()
        old_record = make_record("old", version="v1")
        assert attempts.may_send(admitted, old_record, is_bound=False) is old
        assert attempts.may_send(admitted, RECORD, is_bound=False) is new
        # A stream goes on at its version during the handover.
        assert attempts.may_send(admitted, old_record, is_bound=True)

    async def test_resumption(self, gate, clock):
        """A stream of a reverted version is refused as not run."""
        attempts = make_attempts(gate, clock)
        gate.apply(TRIAL._replace(phase=Phase.REVERTED, step=1), clock())
        with pytest.raises(VersionGoneError):
            attempts.check_resumption(make_admitted(), "v2")
        attempts.check_resumption(make_admitted(), "v1")
