"""Customers' limits, kept by all entries together.

Each entry counts, over a sliding window, what it sends to upstreams itself and
what the other entries say that they sent. An entry that has used much since it
last spoke tells the others at once, which bounds what they do not know. An entry
that starts takes over what the others count; where all start anew, what the store
has recorded of the last window, and without a record a window's limit comes back
only as the window passes. While an entry is not heard from, the others leave it an
equal share.
"""

import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from skylarkdoord.direct._model import Admitted, Customer
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct.exceptions import QuotaError

MAX_RETRY_AFTER_S = 5.0
# Part of what a limit may be exceeded by that is handed out, so that nothing
# below the limit is refused; the rest covers what others have not told yet.
USED_SHARE = 0.8
# Share of a limit that an entry may admit before it tells the others.
UNTOLD_SHARE = 0.02
# From this share of a limit on, entries tell each other as exactly as they must.
NEAR_SHARE = 0.8
# Share of a limit that is handed out at once after a start.
START_SHARE = 0.03
# The same where the store's record of the window is known; the rest covers what
# was used after the record was written.
RECORDED_SHARE = 0.8
# Uses within this time are counted as one.
BIN_S = 0.1


@dataclass
class Use:
    """Units used in one short span.

    Attributes:
        at: Monotonic time of the first use, in seconds.
        units: Units used.
    """

    at: float
    units: float


@dataclass
class Account:
    """What one customer has used.

    Attributes:
        uses: Uses within the window, by any entry.
        total: Their sum.
        own: Units that this entry used since it started.
        told: The same when the other entries were last told.
        added: Units that any entry used since this one started.
    """

    uses: deque[Use] = field(default_factory=deque)
    total: float = 0.0
    own: float = 0.0
    told: float = 0.0
    added: float = 0.0

    def add(self, units: float, now: float) -> None:
        """Count a use."""
        self.total += units
        self.added += units
        if self.uses and now - self.uses[-1].at < BIN_S:
            self.uses[-1].units += units
        else:
            self.uses.append(Use(now, units))

    def add_before(self, units: float, at: float) -> None:
        """Count a use that came before the others."""
        self.total += units
        first = self.uses[0].at if self.uses else at
        self.uses.appendleft(Use(min(at, first), units))

    def forget(self, before: float) -> None:
        """Drop the uses before a time."""
        while self.uses and self.uses[0].at < before:
            self.total -= self.uses.popleft().units

    def wait_s(self, excess: float, now: float, window_s: float) -> float:
        """Return when so many units will have left the window, in seconds."""
        for use in self.uses:
            excess -= use.units
            if excess <= 0:
                return max(0.0, use.at + window_s - now)
        return window_s


class Quota:
    """Admits requests within their customers' limits.

    Args:
        bounds: How exactly limits are kept.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self, bounds: QuotaBounds, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.bounds = bounds
        self.clock = clock
        self.started = clock()
        self.was_told_past = False
        self.is_recorded = False
        self.accounts: dict[str, Account] = {}
        self.silent_entries: Callable[[], tuple[int, int]] = lambda: (0, 1)
        self.on_untold: Callable[[], None] = lambda: None

    def cost(self, admitted: Admitted) -> float:
        """Return the units that a request takes."""
        customer = admitted.customer
        if customer is None or not customer.counts_tokens:
            return 1.0
        request = admitted.request
        if not request.states_tokens:
            return float(customer.default_tokens)
        return float(request.prompt_tokens + request.max_tokens)

    def stated(self, customer: Customer) -> float:
        """Return the units that the operator states for a window."""
        return customer.rate * self.bounds.window_s + customer.burst

    def exceeding(self, customer: Customer) -> float:
        """Return the units by which the operator's bounds let a window exceed it."""
        return self.bounds.overshoot * self.stated(customer) + self.bounds.tolerance

    def limit(self, customer: Customer) -> float:
        """Return the units that a window may hold."""
        stated = self.stated(customer)
        exceeding = self.exceeding(customer)
        silent, entries = self.silent_entries()
        share = 1 - silent / max(1, entries)
        if not self.knows_past():
            age_s = self.clock() - self.started
            known = RECORDED_SHARE if self.is_recorded else START_SHARE
            share *= max(known, age_s / self.bounds.window_s)
        return share * (stated + USED_SHARE * exceeding)

    def knows_past(self) -> bool:
        """Return whether what was used before this entry's start is known."""
        age_s = self.clock() - self.started
        return self.was_told_past or age_s >= self.bounds.window_s

    def check(self, admitted: Admitted) -> None:
        """Check that a request fits its customer's limit; nothing is counted.

        Raises:
            QuotaError: It does not.
        """
        customer = admitted.customer
        if customer is None or not customer.rate:
            return
        now = self.clock()
        account = self.account(customer.name, now)
        excess = account.total + self.cost(admitted) - self.limit(customer)
        if excess <= 0:
            return
        wait_s = account.wait_s(excess, now, self.bounds.window_s)
        raise QuotaError(
            "quota",
            "the customer's limit is used up",
            retry_after_s=min(MAX_RETRY_AFTER_S, wait_s),
        )

    def use(self, admitted: Admitted) -> None:
        """Count a request that is about to be sent to an upstream.

        It is counted only then: a use that is taken back later would leave the
        window later than the use itself and hide others' meanwhile.

        Raises:
            QuotaError: It no longer fits its customer's limit.
        """
        self.check(admitted)
        customer = admitted.customer
        if customer is None:
            return
        units = self.cost(admitted)
        now = self.clock()
        account = self.account(customer.name, now)
        account.add(units, now)
        account.own += units
        untold = account.own - account.told
        if customer.rate and untold > self.untold_most(account, customer):
            self.on_untold()

    def untold_most(self, account: Account, customer: Customer) -> float:
        """Return the units that may stay untold until the next news.

        Near the limit, what all entries together have not told has to fit in the
        part of the exceeding units that is left free.
        """
        limit = self.limit(customer)
        if account.total < NEAR_SHARE * limit:
            return UNTOLD_SHARE * limit
        _, entries = self.silent_entries()
        free = (1 - USED_SHARE) * self.exceeding(customer)
        return min(UNTOLD_SHARE * limit, free / max(1, entries))

    def account(self, customer: str, now: float) -> Account:
        """Return a customer's account as of now."""
        account = self.accounts.get(customer)
        if account is None:
            account = self.accounts[customer] = Account()
        account.forget(now - self.bounds.window_s)
        return account

    def charge(self, customer: str, units: float) -> None:
        """Count units that another entry used."""
        now = self.clock()
        self.account(customer, now).add(units, now)

    def take_over(self, totals: Mapping[str, float], *, knows_past: bool) -> None:
        """Take over another entry's counts of a window where they are higher."""
        now = self.clock()
        for customer, units in totals.items():
            account = self.account(customer, now)
            if units > account.total:
                account.add(units - account.total, now)
        self.was_told_past = self.was_told_past or knows_past

    def take_record(self, totals: Mapping[str, float], age_s: float) -> None:
        """Take over what the store recorded before this entry's start.

        Args:
            totals: Units used within the window before the record, by customer.
            age_s: Time since the record, in seconds.
        """
        now = self.clock()
        for customer, units in totals.items():
            account = self.account(customer, now)
            if units > account.total:
                account.add_before(units - account.total, now - age_s)
        self.is_recorded = True

    def totals(self) -> dict[str, float]:
        """Return the units used within the window by all, by customer."""
        now = self.clock()
        return {name: self.account(name, now).total for name in self.accounts}

    def report_used(self) -> dict[str, float]:
        """Return the units that this entry used in all, by customer."""
        for account in self.accounts.values():
            account.told = account.own
        return {name: account.own for name, account in self.accounts.items()}
