"""Detects requests that crash the upstreams that run them, and quarantines them.

A request that was in flight at an upstream when it crashed is suspected of that
crash, until upstreams have answered it several times since. A request suspected of
several crashes is quarantined: it is not sent any more, except for trials of one that
was answered before. The parts of its prompt that other requests share are suspected as
well; crashes that a quarantined part explains do not count against requests.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable

from skylarkdoor import events
from skylarkdoor.suspicion import crash_id
from skylarkdoord import _events
from skylarkdoord.direct._model import Incarnation, UpstreamRecord
from skylarkdoord.direct._probe import is_down
from skylarkdoord.direct.evidence._crash_state import MAX_CRASHES, Watched
from skylarkdoord.direct.evidence._shared_suspicions import SharedSuspicions
from skylarkdoord.direct.evidence._suspect_keys import SharedPart

# Delay of the probe after a lost answer. A crashed upstream refuses connections for
# longer than this.
PROBE_DELAY_S = 0.15
# Time for which a request that ended without an answer is suspected of a crash that
# becomes known later. The registry drops a crashed upstream some seconds after its
# last heartbeat.
UNANSWERED_RETENTION_S = 8.0
# Requests without an answer that are remembered for each upstream.
MAX_UNANSWERED = 200
# Two crashes under one record are at least this far apart, as an upstream takes
# seconds to start again.
SAME_CRASH_S = 2.0
# Parts of a prompt that one log line names.
MAX_LOGGED_PARTS = 10


class Crashes(SharedSuspicions):
    """Tracks which requests were in flight at upstreams that crashed.

    A crash is found by a probe after an answer was lost, or by the registry: it lists
    a later start of the upstream, or another upstream that started later at its
    address, or no longer lists it and a probe fails.

    Args:
        probe: Returns whether an upstream is down.
        find: Returns the record that the registry lists for an instance; None if there
            is none.
        occupant: Returns the upstream that started last at an address; None if none
            did.
        is_registry_down: Returns whether the registry can't be read at present.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        watched: Upstreams with requests in flight or without an answer.
        checks: Tasks of the pending checks.
        on_down: Called with an upstream that was found down after a lost answer.
    """

    def __init__(
        self,
        *,
        probe: Callable[[UpstreamRecord], Awaitable[bool]] = is_down,
        find: Callable[[str], UpstreamRecord | None] = lambda instance: None,
        occupant: Callable[[str], UpstreamRecord | None] = lambda address: None,
        is_registry_down: Callable[[], bool] = lambda: False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.is_registry_down = is_registry_down
        self.probe = probe
        self.find = find
        self.occupant = occupant
        self.clock = clock
        super().__init__(lambda: self.clock())
        self.watched: dict[Incarnation, Watched] = {}
        self.requests.is_in_flight = self.is_in_flight
        self.parts.is_in_flight = self.is_part_in_flight
        self.checks: set[asyncio.Task[None]] = set()
        self.on_down: Callable[[UpstreamRecord], None] = lambda record: None
        self.log = events.get_logger("direct.crashes")

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request must not be sent now.

        It is suspected of too many crashes, and no trial is due. An upstream that may
        have crashed counts as crashed.
        """
        unchecked = sum(
            self.may_have_crashed(watched) and fingerprint in watched.suspects()
            for watched in self.watched.values()
        )
        if self.count(fingerprint) + unchecked < MAX_CRASHES:
            return False
        return bool(unchecked) or not self.requests.may_try(fingerprint)

    def may_have_crashed(self, watched: Watched) -> bool:
        """Return whether it is unknown if an upstream that lost an answer runs."""
        if watched.is_checked:
            return True
        return watched.is_unconfirmed and self.is_registry_down()

    def is_in_flight(self, fingerprint: int) -> bool:
        """Return whether a request is in flight."""
        return any(
            fingerprint in watched.in_flight for watched in self.watched.values()
        )

    def is_part_in_flight(self, fingerprint: int) -> bool:
        """Return whether a request with a part is in flight, or its outcome unknown."""
        return any(
            part.fingerprint == fingerprint
            for watched in self.watched.values()
            for part in watched.suspected_parts()
        )

    def count(self, fingerprint: int) -> int:
        """Return the number of crashes of which a request is suspected.

        Entries observe a crash at different times; it counts once. Those that a
        quarantined part explains do not count.
        """
        crashes = self.requests.crashes_of(fingerprint)
        return len(crashes - self.parts.explained())

    def on_answered(
        self,
        fingerprint: int,
        sent_at: float,
        parts: Iterable[SharedPart] = (),
        began_at: float | None = None,
    ) -> None:
        """Clear a request of its crashes once upstreams have answered it since.

        Args:
            fingerprint: The request.
            sent_at: Monotonic time at which the answered attempt was sent, in seconds.
                An attempt from before a crash says nothing about the crash.
            parts: Parts of its prompt; one answer clears them.
            began_at: Monotonic time at which the answer began, in seconds; None if it
                is only known when the attempt was sent.
        """
        self.clear_parts(parts, sent_at if began_at is None else began_at)
        for watched in self.watched.values():
            if watched.is_unconfirmed:
                watched.on_answered_elsewhere(fingerprint, sent_at)
        cleared = self.requests.on_answered(fingerprint, sent_at)
        if cleared:
            self.clear(fingerprint, cleared)

    def clear_parts(self, parts: Iterable[SharedPart], began_at: float) -> None:
        """Let an answer speak for the parts of the request's prompt."""
        cleared = False
        for part in parts:
            crashes = self.parts.on_answered(part, began_at)
            if crashes:
                cleared = True
                self.observe(part.fingerprint, crashes, crashes, part=part.name)
        if cleared:
            self.review_parts()

    def clear(self, fingerprint: int, crashes: set[str]) -> None:
        """Let crashes no longer count against a request."""
        self.observe(fingerprint, crashes, crashes)
        self.log.event(
            _events.REQUEST_CLEARED,
            fingerprint=f"{fingerprint:016x}",
            crashes=len(crashes),
        )

    def add_in_flight(
        self,
        record: UpstreamRecord,
        fingerprint: int,
        parts: tuple[SharedPart, ...] = (),
    ) -> None:
        """Record that a request with these parts is sent to an upstream."""
        watched = self.watch(record)
        watched.in_flight[fingerprint] += 1
        watched.add_parts(fingerprint, parts)

    def remove_in_flight(self, record: UpstreamRecord, fingerprint: int) -> None:
        """Record that a request is no longer in flight at an upstream."""
        watched = self.watched.get(record.incarnation)
        if watched is None:
            return
        watched.in_flight[fingerprint] -= 1
        if watched.in_flight[fingerprint] <= 0:
            del watched.in_flight[fingerprint]
            watched.drop_parts(fingerprint)
        self.drop_idle(watched)

    def on_unanswered(
        self,
        record: UpstreamRecord,
        fingerprint: int,
        parts: tuple[SharedPart, ...] = (),
    ) -> None:
        """Record that a request ended without an answer for an unknown reason."""
        watched = self.watch(record)
        watched.unanswered.pop(fingerprint, None)
        watched.unanswered[fingerprint] = self.clock()
        watched.add_parts(fingerprint, parts)
        if len(watched.unanswered) > MAX_UNANSWERED:
            watched.forget_unanswered(next(iter(watched.unanswered)))

    def on_answer_lost(
        self,
        record: UpstreamRecord,
        fingerprint: int,
        parts: tuple[SharedPart, ...] = (),
    ) -> None:
        """Start a check whether an upstream that lost an answer has crashed."""
        self.on_unanswered(record, fingerprint, parts)
        self.start_check(self.watch(record))

    def on_registry_change(self) -> None:
        """Look for crashes among the upstreams whose records have changed."""
        is_read = not self.is_registry_down()
        for watched in list(self.watched.values()):
            self.drop_idle(watched)
            self.look_for_replacement(watched)
            self.look_for_restart(watched)
            if is_read:
                watched.is_unconfirmed = False

    def look_for_restart(self, watched: Watched) -> None:
        """Look for a later start of an upstream, or for its absence."""
        listed = self.find(watched.record.instance)
        start = listed.started_ms if listed else None
        if start == watched.listed_start or not watched.suspects():
            return
        watched.listed_start = start
        if start is None:
            self.start_check(watched)
        elif start > watched.record.started_ms:
            self.suspect(watched, same_crash_s=UNANSWERED_RETENTION_S)

    def on_restarted(self, record: UpstreamRecord, started_ms: int) -> None:
        """Record a start of an upstream that the registry does not list yet.

        Args:
            record: The upstream, as it is listed.
            started_ms: Unix time of the start, in milliseconds.
        """
        watched = self.watch(record)
        # The registry lists the same start later.
        watched.listed_start = started_ms
        watched.restarts += 1
        if not watched.suspects():
            return
        is_known = watched.crashes >= watched.restarts
        self.suspect(watched, same_crash_s=UNANSWERED_RETENTION_S if is_known else 0.0)

    def look_for_replacement(self, watched: Watched) -> None:
        """Look for a later upstream at the address of a watched one."""
        record = watched.record
        occupant = self.occupant(record.address)
        if occupant is None or occupant.instance == record.instance:
            return
        if occupant.started_ms > record.started_ms:
            self.on_replaced(record)

    def on_replaced(self, record: UpstreamRecord) -> None:
        """Record that another upstream has the address of one, which is down then."""
        watched = self.watched.get(record.incarnation)
        if watched is None or watched.is_replaced or not watched.suspects():
            return
        watched.is_replaced = True
        self.suspect(watched, same_crash_s=UNANSWERED_RETENTION_S)

    def watch(self, record: UpstreamRecord) -> Watched:
        """Return the state of an incarnation; add it if it is new."""
        incarnation = record.incarnation
        watched = self.watched.get(incarnation)
        if watched is None:
            watched = self.watched[incarnation] = Watched(record, record.started_ms)
        return watched

    def drop_idle(self, watched: Watched) -> None:
        """Forget old requests, and the upstream if there are no others."""
        if not watched.is_unconfirmed:
            watched.drop_ended_before(self.clock() - UNANSWERED_RETENTION_S)
        is_recent = self.clock() - watched.crashed_at < UNANSWERED_RETENTION_S
        if not (watched.suspects() or watched.is_checked or is_recent):
            self.watched.pop(watched.record.incarnation, None)

    def start_check(self, watched: Watched) -> None:
        """Start a check of an upstream unless one is pending."""
        if watched.is_checked:
            return
        watched.is_checked = True
        task = asyncio.create_task(self.check(watched))
        self.checks.add(task)
        task.add_done_callback(self.checks.discard)

    async def check(self, watched: Watched) -> None:
        """Suspect the requests that were in flight at an upstream if it is down."""
        await asyncio.sleep(PROBE_DELAY_S)
        down = await self.probe(watched.record)
        watched.is_checked = False
        occupant = self.occupant(watched.record.address)
        self.log.event(
            _events.CRASH_CHECKED,
            upstream=watched.record.instance,
            started_ms=watched.record.started_ms,
            down=down,
            occupant=occupant.instance if occupant else "",
            requests=len(watched.suspects()),
        )
        if down:
            self.on_down(watched.record)
            self.suspect(watched, same_crash_s=SAME_CRASH_S)
            return
        watched.is_unconfirmed = self.is_registry_down()
        self.look_for_replacement(watched)

    def suspect(self, watched: Watched, *, same_crash_s: float) -> None:
        """Suspect the requests at an upstream of its crash.

        Args:
            watched: The upstream.
            same_crash_s: Time after an earlier crash within which this is the same
                one, in seconds.
        """
        now = self.clock()
        is_same = watched.is_replaced and watched.crashes
        if now - watched.crashed_at > same_crash_s and not is_same:
            watched.crashes += 1
        watched.crashed_at = now
        record = watched.record
        crash = crash_id(record.instance, record.started_ms, watched.crashes)
        for suspect in watched.suspects():
            self.observe(suspect, [crash])
            self.log.event(
                _events.REQUEST_SUSPECTED,
                fingerprint=f"{suspect:016x}",
                upstream=record.instance,
                crashes=self.count(suspect),
                answered=suspect in self.requests.answered,
                parts=[part.name for part in watched.parts.get(suspect, ())][
                    :MAX_LOGGED_PARTS
                ],
            )
        for part in watched.suspected_parts():
            self.observe(part.fingerprint, [crash], part=part.name)
        watched.forget_all_unanswered()
        self.review_parts()
