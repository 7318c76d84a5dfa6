"""Limits what an entry sends to a version that is on trial."""

from collections.abc import Callable, Collection

from skylarkdoord.direct.rollouts._model import (
    Decision,
    Report,
    RolloutBounds,
    RolloutOrder,
    Versions,
)


class RolloutGate:
    """Decides to which versions this entry sends its requests.

    Args:
        bounds: Bounds that the deployment states.
        instance: Name of this entry.
        live_entries: Returns how many entries are live, this one included.
    """

    def __init__(
        self,
        bounds: RolloutBounds,
        instance: str = "",
        live_entries: Callable[[], int] = lambda: 1,
    ) -> None:
        raise NotImplementedError

    def expect(self, order: RolloutOrder) -> None:
        """Send nothing to the version of an order until a decision is heard of."""
        raise NotImplementedError

    def apply(self, decision: Decision, now_s: float) -> bool:
        """Take a decision over if it takes precedence; return whether it is news.

        Call it also for a repeated decision: it is the sign that this entry is in touch
        with the coordinator.

        Args:
            decision: The decision.
            now_s: Monotonic time, in seconds.
        """
        raise NotImplementedError

    def stop(self, service: str, reason: str) -> None:
        """Send nothing more to the version on trial, before any decision says so."""
        raise NotImplementedError

    def decision(self, service: str) -> Decision | None:
        """Return the decision in force; None if there is none."""
        raise NotImplementedError

    def withheld(self, service: str) -> frozenset[str]:
        """Return the versions that get nothing."""
        raise NotImplementedError

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
        raise NotImplementedError

    def versions_for_retry(
        self, service: str, new_instances: Collection[str], clock: float
    ) -> Versions:
        """Return the versions for another attempt: on trial, the old ones."""
        raise NotImplementedError

    def allows_resumption(self, service: str, version: str, clock: float) -> bool:
        """Return whether a stream may go on at the version that began it."""
        raise NotImplementedError

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
        raise NotImplementedError

    def on_ended(self, service: str, version: str, *, is_once: bool = False) -> None:
        """Count the end of a request that `on_sent` counted."""
        raise NotImplementedError

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
        raise NotImplementedError

    def report(self, service: str) -> Report | None:
        """Return this entry's report on the order in force; None without an order."""
        raise NotImplementedError
