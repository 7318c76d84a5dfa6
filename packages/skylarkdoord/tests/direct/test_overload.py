"""Patterns of overload, played against the queue of one upstream without a network.

Time is simulated: requests come, wait as long as they may, hold a place and
leave. Each class names the pattern that it plays.
"""

import heapq
import itertools
import random
from collections import deque
from typing import NamedTuple

import pytest

from skylarkdoord.direct._guard_queue import SlotQueue
from skylarkdoord.direct._lengths import AnswerLengths
from skylarkdoord.direct._model import Precedence

from ._make import make_admitted, make_request

SLOTS = 8
PATIENCE_S = 0.4
SECONDS_A_TOKEN = 0.006
FIRST_S = 0.1
END_S = 60.0


class Arrival(NamedTuple):
    """A request of a simulated day.

    Attributes:
        at: When it comes, in seconds.
        precedence: What decides who goes first.
        hold_s: How long it holds its place, in seconds.
        is_long: Whether its answer is among the longest.
    """

    at: float
    precedence: Precedence
    hold_s: float
    is_long: bool = False


class Engine:
    """An engine that runs so many requests at a time, the others in their order.

    Args:
        schedule: Called with the time until a request ends, and its name.
    """

    def __init__(self, schedule):
        self.schedule = schedule
        self.running = 0
        self.inside = deque()

    def take(self, name, hold_s):
        """Take a request in."""
        self.inside.append((name, hold_s))
        self.begin()

    def end(self):
        """End a request that runs."""
        self.running -= 1
        self.begin()

    def begin(self):
        """Begin what fits."""
        while self.inside and self.running < SLOTS:
            name, hold_s = self.inside.popleft()
            self.running += 1
            self.schedule(hold_s, name)


def play(arrivals):
    """Return which of the arrivals, by number, got a place in time."""
    events = [(arrival.at, number, "come") for number, arrival in enumerate(arrivals)]
    heapq.heapify(events)
    order = itertools.count(len(events))
    now = 0.0
    served = set()

    def schedule(hold_s, name):
        heapq.heappush(events, (now + hold_s, next(order), f"leave {name}"))

    def grant(_, name):
        served.add(int(name))
        engine.take(name, arrivals[int(name)].hold_s)

    engine = Engine(schedule)
    queue = SlotQueue(grant, clock=lambda: now)
    queue.resize(SLOTS)
    while events:
        now, number, what = heapq.heappop(events)
        if what == "come":
            queue.offer("s", str(number), arrivals[number].precedence)
            heapq.heappush(events, (now + PATIENCE_S, next(order), f"give-up {number}"))
            continue
        what, name = what.split()
        if what == "leave":
            engine.end()
        if what == "leave" or int(name) not in served:
            queue.withdraw("s", name)
    return served


class TestLongAnswers:
    """More requests of one tier than fit, their lengths spread over a hundredfold."""

    @pytest.fixture
    def lengths(self):
        """Return the tokens of answers: most are short, a few very long."""
        rng = random.Random(7)
        return [min(500, 1 + int(rng.lognormvariate(2.6, 1.5))) for _ in range(1800)]

    def arrivals(self, lengths, knows):
        """Return a minute of requests whose callers state lengths, or don't."""
        rng = random.Random(8)
        known = AnswerLengths()
        longest = sorted(lengths)[len(lengths) * 9 // 10]
        times = sorted(rng.uniform(0.0, END_S) for _ in lengths)
        for at, tokens in zip(times, lengths, strict=True):
            # Callers are right at the median, and often far off.
            told = max(1, round(tokens * rng.lognormvariate(0.0, 0.5)))
            request = make_request(expected_tokens=told if knows else 0)
            is_long = known.is_long(make_admitted(request))
            yield Arrival(
                at,
                Precedence(0, is_long=is_long),
                FIRST_S + tokens * SECONDS_A_TOKEN,
                tokens >= longest,
            )

    def test_more_are_served(self, lengths):
        """Short answers don't wait behind long ones, so more requests are served."""
        blind = play(list(self.arrivals(lengths, knows=False)))
        known = play(list(self.arrivals(lengths, knows=True)))
        assert len(blind) < 0.85 * len(lengths)
        assert len(known) > 1.05 * len(blind)

    def test_long_are_not_starved(self, lengths):
        """The longest tenth is served at least half as often as all."""
        arrivals = list(self.arrivals(lengths, knows=True))
        served = play(arrivals)
        long = [number for number, one in enumerate(arrivals) if one.is_long]
        share = len(served & set(long)) / len(long)
        assert share > 0.5 * len(served) / len(arrivals)


class TestLowestTierInRush:
    """Few places are left for a tier whose answers differ a thousandfold.

    On a day of 27 engines, 34 of 100 requests of the lowest tier were served and
    16 of 100 of its longest tenth: long ones went last without a bound.
    """

    REQUESTS = 3000
    # Several times what the places can serve.
    SECONDS = 40.0
    # Ends of the largest tenth and of the fifth below it, as shares by size.
    TENTH = (0.9, 1.0)
    FIFTH_BELOW = (0.7, 0.9)

    @staticmethod
    def note(lengths, request, *, is_served):
        """Tell whether a request found a place."""
        admitted, is_long = request
        lengths.record_outcome(admitted, is_long=is_long, is_served=is_served)

    def play(self, seed):
        """Return the tokens of each request and the numbers of those served."""
        rng = random.Random(seed)
        lengths = AnswerLengths()
        tokens = [
            min(2800, 1 + int(rng.lognormvariate(4.2, 2.4)))
            for _ in range(self.REQUESTS)
        ]
        times = sorted(rng.uniform(0.0, self.SECONDS) for _ in tokens)
        events = [(at, number, "come") for number, at in enumerate(times)]
        heapq.heapify(events)
        order = itertools.count(len(events))
        requests = {}
        served = set()
        now = 0.0

        def schedule(hold_s, name):
            heapq.heappush(events, (now + hold_s, next(order), f"leave {name}"))

        def grant(_, name):
            number = int(name)
            served.add(number)
            self.note(lengths, requests[number], is_served=True)
            engine.take(name, FIRST_S + tokens[number] * SECONDS_A_TOKEN)

        engine = Engine(schedule)
        queue = SlotQueue(grant, clock=lambda: now)
        queue.resize(SLOTS)
        while events:
            now, number, what = heapq.heappop(events)
            if what == "come":
                told = max(1, round(tokens[number] * rng.lognormvariate(0.0, 0.5)))
                admitted = make_admitted(make_request(expected_tokens=told))
                is_long = lengths.is_long(admitted)
                goes_last = lengths.goes_last(admitted, is_long=is_long)
                requests[number] = (admitted, is_long)
                queue.offer("s", str(number), Precedence(0, is_long=goes_last))
                leave = (now + PATIENCE_S, next(order), f"give-up {number}")
                heapq.heappush(events, leave)
                continue
            what, name = what.split()
            if what == "give-up" and int(name) not in served:
                self.note(lengths, requests[int(name)], is_served=False)
            if what == "leave":
                engine.end()
            if what == "leave" or int(name) not in served:
                queue.withdraw("s", name)
        return tokens, served

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("part", [TENTH, FIFTH_BELOW])
    def test_long_are_not_starved(self, seed, part):
        """The longest are served at least half as often as all."""
        tokens, served = self.play(seed)
        by_size = sorted(range(len(tokens)), key=tokens.__getitem__)
        long = by_size[int(part[0] * len(tokens)) : int(part[1] * len(tokens))]
        share = len(served.intersection(long)) / len(long)
        assert share >= 0.5 * len(served) / len(tokens)

    @pytest.mark.parametrize("part", [TENTH, FIFTH_BELOW])
    def test_over_eight_engines(self, part):
        """The longest are served at least half as often as all, over eight engines.

        One engine alone serves some twenty of its longest tenth, so chance would
        decide.
        """
        served_long = all_long = served_all = 0
        for seed in range(1, 9):
            tokens, served = self.play(seed)
            by_size = sorted(range(len(tokens)), key=tokens.__getitem__)
            long = by_size[int(part[0] * len(tokens)) : int(part[1] * len(tokens))]
            served_long += len(served.intersection(long))
            all_long += len(long)
            served_all += len(served)
        share = served_all / (8 * self.REQUESTS)
        assert served_long / all_long >= 0.5 * share


class TestShortAnswersInRush:
    """More short answers than fit, from entries that are some milliseconds away.

    On a day of 27 engines a tenth of the places stood empty through a rush: each
    waited for its end to be told, for the grant and for a connection.
    """

    TOLD_S = 0.002
    SENT_S = 0.006
    HOLD_S = 0.15
    REQUESTS = 1000

    def test_no_place_stands_empty(self):
        """The engine runs what it can for 98 of 100 parts of the time."""
        events = []
        order = itertools.count()
        now = 0.0

        def after(delay_s, what):
            heapq.heappush(events, (now + delay_s, next(order), what))

        engine = Engine(lambda hold_s, name: after(hold_s, f"end {name}"))
        queue = SlotQueue(
            lambda _, name: after(self.SENT_S, f"arrive {name}"), clock=lambda: now
        )
        queue.resize(SLOTS)
        for number in range(self.REQUESTS):
            queue.offer("s", str(number), Precedence(0))
        while events:
            now, _, what = heapq.heappop(events)
            what, name = what.split()
            if what == "arrive":
                engine.take(name, self.HOLD_S)
            elif what == "end":
                engine.end()
                after(self.TOLD_S, f"told {name}")
            else:
                queue.withdraw("s", name)
        assert 0.98 * SLOTS * now <= self.REQUESTS * self.HOLD_S
