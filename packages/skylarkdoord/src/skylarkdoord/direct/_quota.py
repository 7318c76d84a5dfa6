"""Customers' limits, enforced by all entries together.

Each entry counts, over a sliding window, the units that it used itself and those that
the other entries report. Use above a threshold is reported at once, which bounds the
unreported use.

An entry that starts takes over the totals of the others. If all entries restart, they
take over the store's record of the last window. Without a recent record the whole limit
may have been used just before the start, so hardly anything is admitted until a window
has passed. While an entry is silent, the others leave it an equal share of each limit.
"""

import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import takewhile

from skylarkdoord.direct._model import Admitted, Customer
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct.exceptions import QuotaError

MAX_RETRY_AFTER_S = 5.0
# Share of the allowed overshoot that is granted, so that no use below the limit is
# refused; the rest covers use that other entries have not reported yet.
USABLE_OVERSHOOT_SHARE = 0.8
# Share of a limit that an entry may use before it reports the use to the others, and
# that all entries may use together in a surge.
UNREPORTED_SHARE = 0.02
TOTAL_UNREPORTED_SHARE = 0.1
# From this share of a limit on, the unreported use of all entries together has to fit
# into the overshoot that is not granted.
NEAR_LIMIT_SHARE = 0.8
# Longest usual time until all entries know of a use, with some margin, as they admit
# requests of unlike sizes meanwhile.
REPORT_DELAY_S = 0.4
# Time over which the rate of use is measured.
RATE_WINDOW_S = 1.0
# Share of a limit that is available right after a start with the store's record of the
# window; the rest covers use after the record was written.
RESTORED_SHARE = 0.8
# Uses within this time are merged into one.
BIN_S = 0.1


@dataclass
class Use:
    """Units used within one interval of `BIN_S`.

    Attributes:
        began_at: Monotonic time of the first use, in seconds.
        at: Monotonic time of the last use, in seconds.
        units: Units used.
        is_restored: Whether it comes from a record in the store.
    """

    began_at: float
    at: float
    units: float
    is_restored: bool = False


@dataclass
class Account:
    """Units that one customer has used.

    Attributes:
        uses: Uses within the window by all entries, oldest first.
        total: Sum of the units of `uses`.
        own: Units used by this entry since its start.
        reported: Value of `own` in the last report to the other entries.
        used_since_start: Units counted for all entries since the start of this one,
            without those restored from a record.
        peak: Highest rate of use that was seen within a window, in units a second.
        peak_at: Monotonic time of the peak, in seconds.
    """

    uses: deque[Use] = field(default_factory=deque)
    total: float = 0.0
    own: float = 0.0
    reported: float = 0.0
    used_since_start: float = 0.0
    peak: float = 0.0
    peak_at: float = 0.0

    def add(self, units: float, now: float) -> None:
        """Add a use at the current time."""
        self.total += units
        self.used_since_start += units
        latest = self.uses[-1] if self.uses else None
        if latest and not latest.is_restored and now - latest.began_at < BIN_S:
            latest.units += units
            latest.at = now
        else:
            self.uses.append(Use(now, now, units))

    def restore(self, units: float, at: float) -> None:
        """Add a use from a record, which precedes all others."""
        self.total += units
        at = min(at, self.uses[0].at) if self.uses else at
        self.uses.appendleft(Use(at, at, units, is_restored=True))

    def drop_restored(self) -> None:
        """Remove the uses that come from records."""
        while self.uses and self.uses[0].is_restored:
            self.total -= self.uses.popleft().units

    def expire(self, before: float) -> None:
        """Remove the uses before a time."""
        while self.uses and self.uses[0].at < before:
            self.total -= self.uses.popleft().units

    def used_before(self, at: float) -> float:
        """Return the units used before a monotonic time, in seconds."""
        earlier = takewhile(lambda use: use.at < at, self.uses)
        return sum(use.units for use in earlier)

    def used_since(self, at: float) -> float:
        """Return the units used since a monotonic time, in seconds."""
        later = takewhile(lambda use: use.at >= at, reversed(self.uses))
        return sum(use.units for use in later if not use.is_restored)

    def peak_rate(self, now: float, window_s: float) -> float:
        """Return the highest rate of use within a window, in units a second.

        It is only known of the times at which it was asked for.
        """
        rate = self.used_since(now - RATE_WINDOW_S) / RATE_WINDOW_S
        if rate >= self.peak or now - self.peak_at > window_s:
            self.peak, self.peak_at = rate, now
        return self.peak

    def wait_s(self, excess: float, now: float, window_s: float) -> float:
        """Return the time until an excess of units has left the window, in seconds."""
        for use in self.uses:
            excess -= use.units
            if excess <= 0:
                return max(0.0, use.at + window_s - now)
        return window_s


class Quota:
    """Admits requests within their customers' limits.

    A unit is a request or a token, depending on the customer.

    Args:
        bounds: Window and allowed overshoot of limits.
        clock: Returns monotonic time in seconds.

    Attributes:
        is_history_complete: Whether the totals include all use before the start.
        is_restored: Whether totals were restored from a recent record in the store.
        silent_entries: Returns the number of silent entries and of all entries.
        on_unreported: Called when use has to be reported at once.
    """

    def __init__(
        self, bounds: QuotaBounds, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.bounds = bounds
        self.clock = clock
        self.started = clock()
        self.is_history_complete = False
        self.is_restored = False
        self.accounts: dict[str, Account] = {}
        self.silent_entries: Callable[[], tuple[int, int]] = lambda: (0, 1)
        self.on_unreported: Callable[[], None] = lambda: None

    def cost(self, admitted: Admitted) -> float:
        """Return the units that a request uses."""
        customer = admitted.customer
        if customer is None or not customer.counts_tokens:
            return 1.0
        request = admitted.request
        if not request.has_token_counts:
            return float(customer.default_tokens)
        return float(request.prompt_tokens + request.max_tokens)

    def nominal_limit(self, customer: Customer) -> float:
        """Return the units per window in the customer's configuration."""
        return customer.rate * self.bounds.window_s + customer.burst

    def allowed_overshoot(self, customer: Customer) -> float:
        """Return the units by which a window may exceed the nominal limit."""
        return (
            self.bounds.overshoot * self.nominal_limit(customer) + self.bounds.tolerance
        )

    def limit(self, customer: Customer) -> float:
        """Return the units that all entries may currently use within a window."""
        nominal = self.nominal_limit(customer)
        overshoot = self.allowed_overshoot(customer)
        silent, entries = self.silent_entries()
        share = 1 - silent / max(1, entries)
        if not self.covers_window():
            if not self.is_restored:
                return share * (1 - USABLE_OVERSHOOT_SHARE) * overshoot
            age_s = self.clock() - self.started
            share *= max(RESTORED_SHARE, age_s / self.bounds.window_s)
        return share * (nominal + USABLE_OVERSHOOT_SHARE * overshoot)

    def unseen_excess(self, account: Account, customer: Customer) -> float:
        """Return the units by which use that is not known yet may exceed its reserve.

        All entries go on admitting until they have heard of each other's use. The
        reserve is the part of the allowed overshoot that is not granted. At most the
        granted part is returned, so that the customer's nominal limit stays available.
        """
        _, entries = self.silent_entries()
        if entries <= 1:
            return 0.0
        overshoot = self.allowed_overshoot(customer)
        granted = USABLE_OVERSHOOT_SHARE * overshoot
        granted_share = granted / (self.nominal_limit(customer) + granted)
        rate = account.peak_rate(self.clock(), self.bounds.window_s)
        expected = rate * REPORT_DELAY_S
        excess = max(0.0, expected - (overshoot - granted))
        return min(excess, granted_share * self.limit(customer))

    def covers_window(self) -> bool:
        """Return whether the totals include all use within the window."""
        age_s = self.clock() - self.started
        return self.is_history_complete or age_s >= self.bounds.window_s

    def check(self, admitted: Admitted) -> None:
        """Check a request against its customer's limit without counting it.

        Raises:
            QuotaError: The request exceeds the customer's limit.
        """
        customer = admitted.customer
        if customer is None or not customer.rate:
            return
        now = self.clock()
        account = self.account(customer.name, now)
        excess = account.total + self.cost(admitted) - self.limit(customer)
        if excess > -self.allowed_overshoot(customer):
            excess += self.unseen_excess(account, customer)
        if excess <= 0:
            return
        wait_s = account.wait_s(excess, now, self.bounds.window_s)
        raise QuotaError(
            "quota",
            "the customer's limit is used up",
            retry_after_s=min(MAX_RETRY_AFTER_S, wait_s),
        )

    def use(self, admitted: Admitted) -> None:
        """Check and count a request that is about to be sent to an upstream.

        It is not counted earlier: if it were taken back after a wait, the correction
        would stay in the window longer than the use and hide the use of others.

        Raises:
            QuotaError: The request exceeds the customer's limit.
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
        unreported = account.own - account.reported
        if customer.rate and unreported > self.max_unreported(account, customer):
            self.on_unreported()

    def max_unreported(self, account: Account, customer: Customer) -> float:
        """Return the units that may stay unreported until the next regular update.

        Near the limit, the unreported use of all entries together has to fit into the
        part of the allowed overshoot that is not granted.
        """
        limit = self.limit(customer)
        _, entries = self.silent_entries()
        if account.total < NEAR_LIMIT_SHARE * limit:
            if not self.is_surging(account, customer):
                return UNREPORTED_SHARE * limit
            share = TOTAL_UNREPORTED_SHARE / max(1, entries)
            return limit * min(UNREPORTED_SHARE, share)
        free = (1 - USABLE_OVERSHOOT_SHARE) * self.allowed_overshoot(customer)
        return min(UNREPORTED_SHARE * limit, free / max(1, entries))

    def is_surging(self, account: Account, customer: Customer) -> bool:
        """Return whether a customer recently used more than its rate."""
        used = account.used_since(self.clock() - RATE_WINDOW_S)
        return used > customer.rate * RATE_WINDOW_S

    def account(self, customer: str, now: float) -> Account:
        """Return a customer's account with the uses that are still within the window.

        Args:
            customer: Name of the customer.
            now: Monotonic time in seconds.
        """
        account = self.accounts.get(customer)
        if account is None:
            account = self.accounts[customer] = Account()
        account.expire(now - self.bounds.window_s)
        return account

    def charge(self, customer: str, units: float) -> None:
        """Count units that another entry used."""
        now = self.clock()
        self.account(customer, now).add(units, now)

    def merge_totals(
        self,
        totals: Mapping[str, float],
        *,
        covers_window: bool,
        includes_own: bool = True,
    ) -> None:
        """Take over another entry's totals where they are higher.

        Complete totals replace what was restored from a record. Both count the same
        use, but the record's leaves the window earlier.

        Args:
            totals: Units used within the window by all entries, by customer.
            covers_window: Whether the totals include all use within the window.
            includes_own: Whether the totals include the use through this entry.
        """
        now = self.clock()
        if covers_window:
            for account in self.accounts.values():
                account.drop_restored()
        for customer, units in totals.items():
            account = self.account(customer, now)
            if not includes_own:
                units += min(account.own, account.total)
            if units > account.total:
                account.add(units - account.total, now)
        self.is_history_complete = self.is_history_complete or covers_window

    def restore(
        self, totals: Mapping[str, float], age_s: float, *, is_recent: bool = True
    ) -> None:
        """Take over a record that was stored before this entry's start.

        It is ignored if the totals are complete already.

        Args:
            totals: Units used within the window that ended at the record, by customer.
            age_s: Age of the record, in seconds.
            is_recent: Whether a customer that used more since the record would have
                caused a newer one. Otherwise more may have been used.
        """
        if self.covers_window():
            return
        now = self.clock()
        for customer, units in totals.items():
            account = self.account(customer, now)
            if units > account.total:
                account.restore(units - account.total, now - age_s)
        self.is_restored = self.is_restored or is_recent

    def totals(self) -> dict[str, float]:
        """Return the units used within the window by all entries, by customer."""
        now = self.clock()
        return {name: self.account(name, now).total for name in self.accounts}

    def recent_totals(self) -> dict[str, float]:
        """Return the units of `totals` used in the second half of the window."""
        half_at = self.clock() - self.bounds.window_s / 2
        return {
            name: total - self.accounts[name].used_before(half_at)
            for name, total in self.totals().items()
        }

    def report_used(self) -> dict[str, float]:
        """Return the units that this entry used since its start, by customer.

        They count as reported from then on.
        """
        for account in self.accounts.values():
            account.reported = account.own
        return {name: account.own for name, account in self.accounts.items()}
