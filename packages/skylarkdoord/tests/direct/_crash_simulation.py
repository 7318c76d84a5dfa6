"""A simulation of entries whose upstreams crash by parts of prompts."""

import heapq
import itertools
import random
from typing import NamedTuple

from skylarkdoor.hashing import fingerprint
from skylarkdoord.direct.evidence._crashes import SAME_CRASH_S, Crashes
from skylarkdoord.direct.evidence._suspect_keys import SharedPart

from ._make import Clock, make_record

SERVICE_S = 0.5
FIRST_EVENT_S = 0.1
DOWN_S = 3.5
# Time until an entry knows of a crash, and until the others have heard of it.
NOTICE_S = 0.3
SPREAD_S = 0.2
SHARED_PARTS = 4
ITEMS = 200
# Time at which requests with bad parts begin to arrive.
BAD_FROM_S = 5.0


def make_part(name):
    """Return a part of a prompt."""
    return SharedPart(fingerprint("part", name.encode()), name)


class Sent(NamedTuple):
    """A request in flight.

    Attributes:
        number: Number of the request, which is its fingerprint.
        entry: Number of the entry.
        parts: Parts of its prompt.
        sent_at: Time at which it was sent, in seconds.
        upstream: Number of the upstream.
        start: Number of the upstream's start.
    """

    number: int
    entry: int
    parts: tuple
    sent_at: float
    upstream: int
    start: int


class Simulation:
    """Entries, upstreams and requests on a simulated clock.

    Args:
        in_flight: Sound requests in flight at an upstream, on average.
        bad: Names of the parts that crash upstreams.
        is_bad: Returns whether they do so at a time.
        bad_per_s: Requests with each bad part a second.
        crash_interval_s: Time between crashes without a cause in a request; 0 for none.
        crashed_at_once: Upstreams that such a crash ends.

    Attributes:
        bad_sends: Times at which requests with each bad part reached an upstream.
        crash_times: Times of the crashes by each of them.
        sound: Time of each sound request, and whether it was refused.
    """

    def __init__(
        self,
        *,
        in_flight,
        bad=("bad",),
        is_bad=lambda now: True,
        bad_per_s=4.0,
        crash_interval_s=0.0,
        crashed_at_once=1,
        entries=4,
        upstreams=8,
        seed=1,
    ):
        self.random = random.Random(seed)
        self.clock = Clock()
        self.clock.now = 0.0
        self.is_bad = is_bad
        self.bad = {name: make_part(name) for name in bad}
        self.rate = in_flight * upstreams / SERVICE_S
        self.bad_per_s = bad_per_s
        self.crash_interval_s = crash_interval_s
        self.crashed_at_once = crashed_at_once
        self.entries = [Crashes(clock=self.clock) for _ in range(entries)]
        for number, crashes in enumerate(self.entries):
            crashes.parts.is_trial_owner = lambda part, number=number: (
                part % entries == number
            )
        self.reported = [0] * entries
        self.up_at = [0.0] * upstreams
        self.starts = [0] * upstreams
        self.running = [set() for _ in range(upstreams)]
        self.numbers = itertools.count(1)
        self.events = []
        self.bad_sends = {name: [] for name in bad}
        self.crash_times = {name: [] for name in bad}
        self.sound = []

    def at(self, time, call, *args):
        """Schedule a call."""
        heapq.heappush(self.events, (time, next(self.numbers), call, args))

    def run(self, until):
        """Run until a time, in seconds."""
        self.at(0.0, self.send_sound)
        self.at(SPREAD_S, self.gossip)
        for name in self.bad:
            self.at(BAD_FROM_S + self.random.random(), self.send_bad, name)
        if self.crash_interval_s:
            self.at(self.crash_interval_s, self.crash_others)
        while self.events and self.events[0][0] < until:
            self.clock.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self

    def shared(self):
        """Return a part that many requests share."""
        return make_part(f"shared-{self.random.randrange(SHARED_PARTS)}")

    def send_sound(self):
        """Send a sound request and schedule the next one."""
        self.at(self.clock.now + self.random.expovariate(self.rate), self.send_sound)
        item = make_part(f"item-{self.random.randrange(ITEMS)}")
        is_sent = self.send((self.shared(), item))
        if is_sent is not None:
            self.sound.append((self.clock.now, not is_sent))

    def send_bad(self, name):
        """Send a request with a bad part and schedule the next one."""
        self.at(
            self.clock.now + self.random.expovariate(self.bad_per_s),
            self.send_bad,
            name,
        )
        if self.send((self.shared(), self.bad[name])):
            self.bad_sends[name].append(self.clock.now)

    def send(self, parts):
        """Send a request unless it is refused; None if no upstream is up."""
        entry = self.random.randrange(len(self.entries))
        up = [number for number, at in enumerate(self.up_at) if at <= self.clock.now]
        if not up:
            return None
        crashes = self.entries[entry]
        number = next(self.numbers)
        is_refused = crashes.parts.find_quarantined(parts)
        if is_refused or crashes.is_quarantined(number):
            return False
        upstream = self.random.choice(up)
        start = self.starts[upstream]
        sent = Sent(number, entry, parts, self.clock.now, upstream, start)
        crashes.add_in_flight(self.record(sent), number, parts)
        self.running[upstream].add(sent)
        if self.is_bad(self.clock.now) and not self.bad.keys().isdisjoint(
            part.name for part in parts
        ):
            self.at(self.clock.now + FIRST_EVENT_S, self.crash, sent)
        else:
            self.at(self.clock.now + SERVICE_S, self.answer, sent)
        return True

    def record(self, sent):
        """Return the record of the upstream that a request was sent to."""
        return make_record(f"i-{sent.upstream}", started_ms=sent.start)

    def answer(self, sent):
        """End a request that is still running."""
        if sent not in self.running[sent.upstream]:
            return
        self.running[sent.upstream].remove(sent)
        crashes = self.entries[sent.entry]
        crashes.remove_in_flight(self.record(sent), sent.number)
        began_at = sent.sent_at + FIRST_EVENT_S
        crashes.on_answered(sent.number, sent.sent_at, sent.parts, began_at)

    def crash(self, sent):
        """Crash the upstream of a request with a bad part."""
        if sent in self.running[sent.upstream]:
            for part in sent.parts:
                if part.name in self.bad:
                    self.crash_times[part.name].append(self.clock.now)
            self.end(sent.upstream)

    def crash_others(self):
        """Crash upstreams without a cause in a request, and schedule the next time."""
        self.at(self.clock.now + self.crash_interval_s, self.crash_others)
        up = [number for number, at in enumerate(self.up_at) if at <= self.clock.now]
        for upstream in self.random.sample(up, min(self.crashed_at_once, len(up))):
            self.end(upstream)

    def end(self, upstream):
        """End an upstream; the entries notice it a little later."""
        lost, self.running[upstream] = self.running[upstream], set()
        self.up_at[upstream] = self.clock.now + DOWN_S
        self.starts[upstream] += 1
        for sent in lost:
            crashes = self.entries[sent.entry]
            record = self.record(sent)
            crashes.remove_in_flight(record, sent.number)
            crashes.on_unanswered(record, sent.number, sent.parts)
            self.at(self.clock.now + NOTICE_S, self.notice, sent.entry, record)

    def notice(self, entry, record):
        """Let an entry know that an upstream has crashed."""
        watched = self.entries[entry].watched.get(record.incarnation)
        if watched is not None and watched.unanswered:
            self.entries[entry].suspect(watched, same_crash_s=SAME_CRASH_S)

    def gossip(self):
        """Send the suspicions of each entry to the others."""
        self.at(self.clock.now + SPREAD_S, self.gossip)
        for number, crashes in enumerate(self.entries):
            report = crashes.report(self.reported[number])
            self.reported[number] = report.revision
            for other in self.entries:
                if other is not crashes:
                    other.merge(report.suspects)

    def refused_share(self, since=0.0, until=float("inf")):
        """Return the share of sound requests that were refused in a time."""
        refused = [is_refused for at, is_refused in self.sound if since <= at < until]
        return sum(refused) / max(1, len(refused))

    def late_sends(self, contact_s=3.0):
        """Return the most sends with one bad part too late after its fifth crash."""
        late = [0]
        for name, times in self.crash_times.items():
            if len(times) >= 5:
                known_at = times[4] + contact_s
                late.append(sum(at > known_at for at in self.bad_sends[name]))
        return max(late)
