"""Checks that a request may be sent, before each of its attempts."""

from skylarkdoord.direct._forward_dependencies import ForwarderDependencies
from skylarkdoord.direct._model import Admitted
from skylarkdoord.direct._request_retries import RequestRetries
from skylarkdoord.direct._waiting import Slot
from skylarkdoord.direct.evidence import SharedPart
from skylarkdoord.exceptions import NotRunError, OutcomeUnknownError

UNAVAILABLE_RETRY_AFTER_S = 0.5


class SendChecks:
    """Checks of one request.

    Each raises an error that states whether the request may have run.

    Args:
        dependencies: Components that the checks depend on.
        admitted: The request.
        fingerprint: Identifies the request and its repeats.
        parts: Parts of its prompt that other requests may share.
        retries: Asks the retry budget for its retries.
    """

    def __init__(
        self,
        dependencies: ForwarderDependencies,
        admitted: Admitted,
        fingerprint: int,
        parts: tuple[SharedPart, ...],
        retries: RequestRetries,
    ) -> None:
        self.dependencies = dependencies
        self.admitted = admitted
        self.fingerprint = fingerprint
        self.parts = parts
        self.retries = retries

    def check_quarantine(self, *, has_run: bool) -> None:
        """Check that the request is not quarantined.

        Args:
            has_run: Whether an earlier attempt ran, or may have run.

        Raises:
            NotRunError: It is, and has not run.
            OutcomeUnknownError: It is, and may have run.
        """
        crashes = self.dependencies.crashes
        part = crashes.parts.find_quarantined(self.parts)
        if part is not None:
            message = f"a part of the prompt crashes upstreams: {part.name!r}"
        elif crashes.is_quarantined(self.fingerprint):
            message = "the request crashes upstreams"
        else:
            return
        if has_run:
            raise OutcomeUnknownError(message)
        raise NotRunError("quarantined", message)

    def can_finish(self) -> bool:
        """Return whether the request, if sent now, can end before the entry does."""
        return self.dependencies.drain.can_finish(
            self.admitted.route.name,
            self.admitted.deadline,
            self.admitted.request.answer_tokens,
        )

    def check_drain(self, *, has_run: bool) -> None:
        """Check that the request can end before the entry does.

        Args:
            has_run: Whether an earlier attempt ran, or may have run.

        Raises:
            NotRunError: It can't, and the request has not run.
            OutcomeUnknownError: It can't, and the request may have run.
        """
        if self.can_finish():
            return
        message = "the entry stops before the request can end"
        if has_run:
            raise OutcomeUnknownError(message)
        raise NotRunError("draining", message, retry_after_s=0.0)

    def check_budget(self, slot: Slot, *, has_run: bool) -> None:
        """Check that the attempt, if it is a retry, is still within the budget.

        Args:
            slot: The slot of the attempt.
            has_run: Whether an earlier attempt ran, or may have run.

        Raises:
            NotRunError: It is not, and the request has not run.
            OutcomeUnknownError: It is not, and the request may have run.
        """
        if self.retries.send(slot):
            return
        message = "the retry budget was used up while the request waited"
        if has_run:
            raise OutcomeUnknownError(message)
        raise NotRunError(
            "unavailable", message, retry_after_s=UNAVAILABLE_RETRY_AFTER_S
        )
