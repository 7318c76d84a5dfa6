"""State machine: the newest configuration reaches all entries that can be reached."""

import asyncio
import copy
import json
from itertools import combinations
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from skylarkdoor.wire import Outbox, pb
from skylarkdoord.direct import FleetConfig
from skylarkdoord.direct._entry_stream import EntryStream
from skylarkdoord.direct._exchange import EntryExchange
from skylarkdoord.direct._fleet import CONFIG_KEY
from skylarkdoord.direct.exceptions import RowError

from ._make import LOOPBACK, Clock
from .test_store_history import ModelEntry, ModelStore, StubAdapter

DATA_CENTRES = {"n-1": "north", "n-2": "north", "s-1": "south", "w-1": "west"}
ENTRIES = tuple(DATA_CENTRES)
SETS = [names for size in range(5) for names in combinations(ENTRIES, size)]
NAMES = st.sampled_from(SETS)
FEW_NAMES = st.sampled_from([(), (), (), *combinations(ENTRIES, 1)])
BORDERS = tuple(combinations(sorted(set(DATA_CENTRES.values())), 2))
# Time that a message takes, in seconds.
STEP_S = 0.1
STEPS_BETWEEN_UPDATES = 2
# Steps within which entries that reach each other agree, even if some ask in vain.
MAX_STEPS = 80
# Steps after which an entry has heard of every change at another one.
QUIET_STEPS = 5
# Writes that the store's copy or the response to a read may lack.
MAX_LOST = 3


class RefusingAdapter(StubAdapter):
    """Decodes rows of plain JSON, and refuses some versions of the configuration."""

    def __init__(self, refused):
        self.refused = refused

    def decode_config(self, data):
        """Return an empty configuration, in one of several forms."""
        number, form = json.loads(data)
        if number in self.refused:
            raise RowError("form: unknown value")
        return FleetConfig(number, (), {}, (), max_body_bytes=form)


class Timers:
    """Calls that are due at a certain time."""

    def __init__(self, clock):
        self.clock = clock
        self.calls = {}
        self.count = 0

    def call_later(self, delay_s, call):
        """Add a call; it is dropped by `cancel` of the returned timer."""
        self.count += 1
        number = self.count
        self.calls[number] = (self.clock() + delay_s, call)
        return SimpleNamespace(cancel=lambda: self.calls.pop(number, None))

    def run(self):
        """Make the calls that are due."""
        for number, (due, _) in list(self.calls.items()):
            if due <= self.clock() and number in self.calls:
                self.calls.pop(number)[1]()


class Stream(EntryStream):
    """One end of a stream, whose messages the machine carries."""

    def __init__(self, entry, peer):
        self.entry = entry
        self.queue = Outbox()
        self.is_open = False
        super().__init__(entry.exchange, lambda: self.queue, peer=peer)

    def take(self):
        """Return the message to send now, if any."""
        if not self.queue.ready.is_set():
            return None
        messages, self.queue.messages = self.queue.messages, []
        self.queue.ready.clear()
        return self.batch(messages).SerializeToString()

    def deliver(self, data):
        """Receive a message."""
        if not self.is_open:
            self.is_open = True
            self.on_open()
        self.receive(pb.EntryNews.FromString(data))


class Entry(ModelEntry):
    """An entry with its exchange, whose streams are opened by the machine."""

    def __init__(self, name, refused, clock):
        super().__init__(name, RefusingAdapter(refused), clock=clock)
        self.timers = Timers(clock)
        listen = SimpleNamespace(peers=f"{LOOPBACK}:1")
        own = SimpleNamespace(instance=name, listen=listen)
        self.exchange = EntryExchange(own, None, self.members)
        self.exchange.config_requests.call_later = self.timers.call_later

    @property
    def config(self):
        """Version of the configuration in force."""
        return self.fleet.config_version

    def lacks(self, other):
        """Return whether another entry has a newer configuration, not refused here."""
        refused = self.fleet.adapter.refused
        return other.config > self.config and other.config.number not in refused


class ConfigAmongEntries(RuleBasedStateMachine):
    """The operator, the store and entries of three data centres."""

    def __init__(self):
        super().__init__()
        # An exchange needs a loop for the listener that it doesn't open here.
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.clock = Clock()
        self.steps = 0
        self.store = ModelStore()
        self.states = [copy.deepcopy(self.store)]
        self.written = (0, 1)
        self.refused = {name: set() for name in ENTRIES}
        self.cut = set()
        self.streams = {}
        self.entries = {}
        for name in ENTRIES:
            self.start(name)
        self.write(1, 1)
        self.read(ENTRIES, 0)

    def start(self, name):
        """Start an entry, and connect it to those that it can reach."""
        self.entries[name] = Entry(name, self.refused[name], self.clock)
        for pair in combinations(ENTRIES, 2):
            if name in pair and set(pair) <= set(self.entries):
                self.connect(pair)

    def connect(self, pair):
        """Open a stream between two entries unless they are parted."""
        if self.is_cut(pair):
            return
        ends = tuple(
            Stream(self.entries[name], peer)
            for name, peer in (pair, tuple(reversed(pair)))
        )
        self.streams[pair] = ends
        for end in ends:
            end.queue.wake()

    def disconnect(self, pair):
        """End the stream between two entries, if there is one."""
        for end in self.streams.pop(pair, ()):
            end.on_lost(is_silent=True)

    def is_cut(self, pair):
        """Return whether the data centres of two entries are parted."""
        return tuple(sorted(DATA_CENTRES[name] for name in pair)) in self.cut

    def step(self):
        """Let messages, timers and regular updates take place once."""
        self.clock.now += STEP_S
        self.steps += 1
        for entry in self.entries.values():
            entry.timers.run()
            if self.steps % STEPS_BETWEEN_UPDATES == 0:
                for outbox in entry.exchange.outboxes:
                    outbox.wake()
        sent = []
        for pair, ends in self.streams.items():
            for end, other in (ends, ends[::-1]):
                message = end.take()
                if message is not None and not self.is_cut(pair):
                    sent.append((other, message))
        for end, message in sent:
            end.deliver(message)

    def write(self, number, form):
        """Let the operator write a configuration."""
        self.written = (number, form)
        self.store.write(CONFIG_KEY, self.written)
        self.states.append(copy.deepcopy(self.store))

    def state(self, lost):
        """Return the state of the store before some of the latest writes."""
        return self.states[max(0, len(self.states) - 1 - lost)]

    @rule(increase=st.integers(1, 3), refusing=FEW_NAMES, readers=NAMES)
    def change(self, increase, refusing, readers):
        """Write a new version, which some entries refuse and some read at once."""
        number = self.written[0] + increase
        for name in refusing:
            self.refused[name].add(number)
        self.write(number, 1)
        self.read(readers, 0)

    @rule(is_changed=st.booleans(), readers=NAMES)
    def write_again(self, is_changed, readers):
        """Write the latest version again, as it was or with other contents."""
        number, form = self.written
        self.write(number, form + is_changed)
        self.read(readers, 0)

    @rule(lost=st.integers(0, MAX_LOST), restarting=FEW_NAMES, readers=NAMES)
    def come_back(self, lost, restarting, readers):
        """Let the store come back from a copy, which lacks some writes."""
        older = self.state(lost)
        self.store.come_back(older.rows, older.version)
        self.states.append(copy.deepcopy(self.store))
        self.restart(restarting)
        self.read(readers, 0)

    @rule(names=NAMES, lost=st.integers(0, MAX_LOST))
    def read(self, names, lost):
        """Let entries read the store; the response may lack some writes."""
        store = self.state(lost)
        for name in names:
            if store.era >= self.entries[name].era:
                self.entries[name].read(store)

    @rule(names=FEW_NAMES)
    def restart(self, names):
        """Restart entries, which keep nothing."""
        for name in names:
            for pair in list(self.streams):
                if name in pair:
                    self.disconnect(pair)
            self.start(name)

    @rule(border=st.sampled_from(BORDERS))
    def part(self, border):
        """Part two data centres; streams between them fall silent."""
        self.cut.add(border)

    @rule(border=st.sampled_from(BORDERS))
    def rejoin(self, border):
        """Let two data centres reach each other again, by new streams."""
        if border not in self.cut:
            return
        self.end_parted_streams()
        self.cut.discard(border)
        for pair in combinations(ENTRIES, 2):
            if pair not in self.streams:
                self.connect(pair)

    @rule()
    def end_parted_streams(self):
        """End the streams that have been silent for too long."""
        for pair in list(self.streams):
            if self.is_cut(pair):
                self.disconnect(pair)

    @rule(steps=st.integers(1, 12))
    def pass_time(self, steps):
        """Let time pass."""
        for _ in range(steps):
            self.step()
            self.nothing_goes_back()

    @rule(is_healed=st.booleans())
    def settle(self, is_healed):
        """Entries agree with all that they reach, and then request nothing."""
        for border in BORDERS if is_healed else ():
            self.rejoin(border)
        self.end_parted_streams()
        quiet = 0
        for _ in range(MAX_STEPS):
            self.step()
            self.nothing_goes_back()
            quiet = 0 if self.are_apart() or self.is_any_due() else quiet + 1
            if quiet == QUIET_STEPS:
                return
        raise AssertionError(f"requests go on; apart are {self.are_apart()}")

    def teardown(self):
        """Let the entries agree once all data centres reach each other again."""
        try:
            self.settle(is_healed=True)
        finally:
            asyncio.set_event_loop(None)
            self.loop.close()

    def are_apart(self):
        """Return the pairs of which one entry lacks the other's configuration."""
        return [
            (name, peer)
            for pair in self.streams
            for name, peer in (pair, pair[::-1])
            if self.entries[name].lacks(self.entries[peer])
        ]

    def is_any_due(self):
        """Return whether an entry is to request a configuration."""
        return any(entry.timers.calls for entry in self.entries.values())

    @invariant()
    def nothing_goes_back(self):
        """No entry goes back to a lower version."""
        for entry in self.entries.values():
            entry.check()

    @invariant()
    def rows_are_in_force(self):
        """The row that an entry sends to others is the configuration in force."""
        for entry in self.entries.values():
            if entry.fleet.config_row is not None:
                in_force = entry.fleet.adapter.decode_config(
                    entry.fleet.config_row.data
                )
                assert entry.fleet.table.config == in_force


ConfigAmongEntries.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30
)
TestConfigAmongEntries = ConfigAmongEntries.TestCase
