"""Limits what an entry sends to a version that is on trial.

Answers bad versions under uneven traffic, with retries and with entries that are cut
off: whatever an entry sends is bounded by its own requests, and an entry that is out of
touch sends nothing to a version on trial.
"""

from collections.abc import Callable, Collection

from skylarkdoord.direct.rollouts._evidence import Evidence, Running
from skylarkdoord.direct.rollouts._exposure import Exposure, trial_instances
from skylarkdoord.direct.rollouts._model import (
    Decision,
    Phase,
    Report,
    RolloutBounds,
    RolloutOrder,
    Versions,
)
from skylarkdoord.direct.rollouts._phases import withheld_after
from skylarkdoord.direct.rollouts._state import RolloutState, merged


class RolloutGate:
    """Decides to which versions this entry sends its requests.

    Args:
        bounds: Bounds that the deployment states.
        instance: Name of this entry.
        live_entries: Returns how many entries are live, this one included.

    Attributes:
        rollouts: Roll-outs by service.
        running: Requests that run now, by service.
    """

    def __init__(
        self,
        bounds: RolloutBounds,
        instance: str = "",
        live_entries: Callable[[], int] = lambda: 1,
    ) -> None:
        self.bounds = bounds
        self.instance = instance
        self.live_entries = live_entries
        self.rollouts: dict[str, RolloutState] = {}
        self.running: dict[str, Running] = {}

    def expect(self, order: RolloutOrder, now_s: float) -> None:
        """Send nothing to the version of an order until a decision is heard of.

        Args:
            order: The order, newer than that of any decision that was read.
            now_s: Monotonic time, in seconds.
        """
        self.apply(Decision(order, Phase.TRIAL, share=0.0, started_s=0.0), now_s)

    def apply(self, decision: Decision, now_s: float) -> bool:
        """Take a decision over if it takes precedence; return whether it is news.

        Call it also for a repeated decision: it is the sign that this entry is in touch
        with the coordinator.

        Args:
            decision: The decision.
            now_s: Monotonic time, in seconds.
        """
        service = decision.order.service
        rollout = self.rollouts.get(service)
        if rollout is None or decision.order != rollout.decision.order:
            return self._apply_order(decision, now_s, rollout)
        if decision.precedence < rollout.decision.precedence:
            return False
        rollout.heard_at = now_s
        is_news = decision != rollout.decision
        rollout.decision = decision._replace(
            withheld=merged(decision.withheld, rollout.decision.withheld)
        )
        return is_news

    def _apply_order(
        self, decision: Decision, now_s: float, former: RolloutState | None
    ) -> bool:
        """Take over a decision on another order than the one in force."""
        order = decision.order
        if former is not None:
            if decision.precedence < former.decision.precedence:
                return False
            withheld = withheld_after(order, former.decision)
            decision = decision._replace(withheld=merged(decision.withheld, withheld))
        running = self.running.setdefault(order.service, Running())
        self.rollouts[order.service] = RolloutState(
            decision,
            now_s,
            Evidence(order, running),
            Exposure(order, self.bounds, self.instance),
        )
        return True

    def stop(self, service: str, reason: str) -> None:
        """Send nothing to the version on trial, before any decision says so.

        Call it after each verdict: "bad" stops, and any other lifts the stop. If a stop
        stayed while the coordinator's evidence never was bad, this entry would keep a
        good version from completing.

        Args:
            service: The service.
            reason: Why the evidence that this entry holds is bad; empty if it isn't.
        """
        rollout = self.rollouts.get(service)
        if rollout is not None:
            rollout.stopped = reason

    def forget(self, service: str) -> None:
        """Forget a service that left the configuration."""
        self.rollouts.pop(service, None)

    def decision(self, service: str) -> Decision | None:
        """Return the decision in force; None if there is none."""
        rollout = self.rollouts.get(service)
        return rollout.decision if rollout else None

    def withheld(self, service: str) -> frozenset[str]:
        """Return the versions of earlier orders that get nothing."""
        rollout = self.rollouts.get(service)
        return frozenset(rollout.decision.withheld) if rollout else frozenset()

    def versions_for(
        self,
        service: str,
        key: str,
        new_instances: Collection[str],
        clock: float,
    ) -> Versions:
        """Return the versions for a first attempt.

        A first attempt that gets the new version uses up exposure, also if it is not
        sent in the end.

        Args:
            service: The service.
            key: Name of the request's route; each has the same share.
            new_instances: Upstreams of the new version that are ready.
            clock: Monotonic time, in seconds.
        """
        rollout = self.rollouts.get(service)
        if rollout is None:
            return Versions()
        decision = rollout.decision
        if (
            decision.phase is Phase.TRIAL
            and new_instances
            and rollout.may_use_new(clock)
            and rollout.exposure.take(
                key, decision.share, rollout.evidence, self.live_entries()
            )
        ):
            return Versions(
                only=rollout.version,
                preferred=trial_instances(
                    decision.order, decision.share, new_instances
                ),
            )
        return self.versions_for_retry(service, new_instances, clock)

    def versions_for_retry(
        self, service: str, new_instances: Collection[str], clock: float
    ) -> Versions:
        """Return the versions for another attempt: on trial, the old ones."""
        rollout = self.rollouts.get(service)
        if rollout is None:
            return Versions()
        is_trial = rollout.decision.phase is Phase.TRIAL
        if is_trial or not rollout.may_use_new(clock):
            return Versions(excluded=rollout.avoided)
        if new_instances:
            return Versions(only=rollout.version)
        return Versions(excluded=rollout.avoided - {rollout.version})

    def may_send(self, service: str, version: str, clock: float) -> bool:
        """Return whether a request that was given a version may still be sent to it.

        Ask right before sending: the decision may have changed while the request waited
        for a slot. If it returns False, ask `versions_for_retry` again.
        """
        rollout = self.rollouts.get(service)
        if rollout is None:
            return True
        if version == rollout.version:
            return rollout.may_use_new(clock)
        return version not in rollout.decision.withheld

    def allows_resumption(self, service: str, version: str, clock: float) -> bool:
        """Return whether a stream may go on at the version that began it.

        On trial, resumptions use up exposure like other requests, so there may be none
        left.
        """
        if not self.may_send(service, version, clock):
            return False
        rollout = self.rollouts.get(service)
        if rollout is None or version != rollout.version:
            return True
        return rollout.decision.phase is not Phase.TRIAL or rollout.exposure.has_room(
            rollout.evidence, self.live_entries()
        )

    def on_sent(
        self,
        service: str,
        version: str,
        *,
        is_once: bool = False,
        is_first: bool = False,
    ) -> None:
        """Count a request that is sent to an upstream.

        Args:
            service: The service.
            version: Version of the upstream.
            is_once: Whether the request may run only once.
            is_first: Whether it goes where `versions_for` sent it.
        """
        running = self.running.setdefault(service, Running())
        running.begin(version, is_once=is_once)
        rollout = self.rollouts.get(service)
        if rollout is None:
            return
        rollout.evidence.on_sent(version)
        if version == rollout.version and not is_first:
            rollout.exposure.used += 1

    def on_ended(self, service: str, version: str, *, is_once: bool = False) -> None:
        """Count the end of a request that `on_sent` counted."""
        self.running.setdefault(service, Running()).end(version, is_once=is_once)

    def on_answer(
        self,
        service: str,
        route: str,
        prompt_tokens: int,
        version: str,
        duration_s: float,
        *,
        is_failure: bool = False,
    ) -> None:
        """Count an answer as evidence; see `Evidence.on_answer`."""
        rollout = self.rollouts.get(service)
        if rollout is None or version in rollout.decision.withheld:
            return
        rollout.evidence.on_answer(
            route, prompt_tokens, version, duration_s, is_failure=is_failure
        )

    def report(self, service: str) -> Report | None:
        """Return this entry's report on the order in force; None without an order."""
        rollout = self.rollouts.get(service)
        if rollout is None:
            return None
        decision = rollout.decision
        return rollout.evidence.report()._replace(
            term=decision.term, step=decision.step
        )
