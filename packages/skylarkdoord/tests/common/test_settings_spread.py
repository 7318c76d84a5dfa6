"""Settings spread among processes by streams, polls and restarts."""

import asyncio
import contextlib
import json
from collections import deque
from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from skylarkdoor.clients import PlatformError, Put, Txn
from skylarkdoor.wire import pb
from skylarkdoord.admin._editor import Change, SettingsEditor
from skylarkdoord.admin._paths import parse_path
from skylarkdoord.admin._reader import SettingsReader
from skylarkdoord.common import Exchange, SettingsService
from skylarkdoord.common import _settings_poll as poll

from .._fakes import FakeTable

FLEET = {"tiers": {"lookup": {"rank": 0}}, "pools": {"registry": {"kind": "service"}}}
PROCESSES = 3
LINKS = [(0, 1), (1, 2), (0, 2)]
PATHS = ["/teams/a", "/teams/b"]


class FakePlatform(NamedTuple):
    """The platform's table alone."""

    table: FakeTable


class Process:
    """One process's settings and its poll."""

    def __init__(self, table: FakeTable):
        self.service = SettingsService()
        self.poll = poll.SettingsPoll(FakePlatform(table), self.service)
        self.before: dict[str, int] = {}


class Link:
    """A stream between two processes, with what is under way on it."""

    def __init__(self, one: Process, other: Process):
        self.queues = (deque(), deque())
        self.ends: tuple[Exchange, Exchange] = (
            one.service.exchanges.open(pb.EntryMessage, self.queues[1].append),
            other.service.exchanges.open(pb.SidecarMessage, self.queues[0].append),
        )

    def deliver(self, end: int) -> bool:
        """Have one end handle its next message; returns whether there was one."""
        if not self.queues[end]:
            return False
        assert self.ends[end].handle(self.queues[end].popleft())
        return True

    def cut(self) -> None:
        """Lose what is under way and end the stream at both ends."""
        for queue in self.queues:
            queue.clear()
        for end in self.ends:
            end.close()


class SpreadMachine(RuleBasedStateMachine):
    """Three processes with streams that break, restarts and a table that fails."""

    def __init__(self):
        super().__init__()
        poll.PEER_GRACE_S = 0.0
        self.loop = asyncio.new_event_loop()
        self.table = FakeTable()
        row = {"revision": 1, "document": FLEET}
        write = Put("settings/fleet", json.dumps(row).encode())
        self.run(self.table.commit([Txn(writes=(write,))]))
        self.processes = [Process(self.table) for _ in range(PROCESSES)]
        self.links: dict[int, Link] = {}
        self.count = 0
        self.accepted_rows = []

    @initialize()
    def begin(self):
        """Begin with every stream open and the fleet known."""
        for link in range(len(LINKS)):
            self.connect(link)
        for process in range(PROCESSES):
            self.poll_table(process)

    def run(self, awaitable):
        """Run to the end; a fault of the table is no failure."""
        with contextlib.suppress(PlatformError):
            return self.loop.run_until_complete(awaitable)

    async def call(self, function, *arguments):
        """Call a function inside the loop."""
        return function(*arguments)

    @rule(process=st.integers(0, PROCESSES - 1), path=st.sampled_from(PATHS))
    def accept(self, process, path):
        """Have a process accept an operator's change."""
        if self.table.mode != "ok":
            return
        self.count += 1
        service = self.processes[process].service
        reader = SettingsReader(self.table, service.view.revision)
        operation = str(self.count)
        change = Change(
            parse_path(path), {"customers": {}}, False, None, "o", operation
        )
        accepted = self.run(SettingsEditor(self.table, reader).apply(change))
        self.run(self.call(service.offer, path, accepted.row))
        self.accepted_rows.append((path, accepted.row))

    @rule(process=st.integers(0, PROCESSES - 1), choice=st.integers(0, 50))
    def old_row(self, process, choice):
        """Have a process meet a row accepted earlier, as an old read shows it."""
        if self.accepted_rows:
            path, row = self.accepted_rows[choice % len(self.accepted_rows)]
            service = self.processes[process].service
            self.run(self.call(service.offer, path, row))

    @rule(link=st.integers(0, len(LINKS) - 1), end=st.integers(0, 1))
    def deliver(self, link, end):
        """Deliver one message."""
        if link in self.links:
            self.run(self.call(self.links[link].deliver, end))

    @rule(process=st.integers(0, PROCESSES - 1), path=st.sampled_from(PATHS))
    def accept_and_end(self, process, path):
        """Have a process accept a change and end before it told anyone."""
        self.accept(process, path)
        self.restart(process)

    @rule(rounds=st.integers(1, 6))
    def deliver_some(self, rounds):
        """Deliver what is under way, for some rounds."""
        for _ in range(rounds):
            self.run(self.call(self.deliver_all))

    @rule(link=st.integers(0, len(LINKS) - 1))
    def connect(self, link):
        """Open a stream anew."""
        self.cut(link)
        one, other = (self.processes[index] for index in LINKS[link])
        self.links[link] = self.run(self.call(Link, one, other))

    @rule(link=st.integers(0, len(LINKS) - 1))
    def cut(self, link):
        """End a stream."""
        held = self.links.pop(link, None)
        if held is not None:
            self.run(self.call(held.cut))

    @rule(process=st.integers(0, PROCESSES - 1))
    def poll_table(self, process):
        """Have a process poll the table."""
        self.run(self.processes[process].poll.check())

    @rule(process=st.integers(0, PROCESSES - 1))
    def restart(self, process):
        """Replace a process by one that knows nothing."""
        for link, ends in enumerate(LINKS):
            if process in ends:
                self.cut(link)
        self.processes[process] = Process(self.table)

    @rule(mode=st.sampled_from(["ok", "ok", "down", "stale"]))
    def fault(self, mode):
        """Set the table's fault."""
        self.table.set_mode(mode)

    @invariant()
    def never_reverts(self):
        """No revision in force goes back, and none was not accepted."""
        for process in self.processes:
            held = process.service.revisions()
            for path, revision in process.before.items():
                assert held[path] >= revision
            for path, revision in held.items():
                assert revision <= self.accepted(path)
            process.before = held

    def accepted(self, path: str) -> int:
        """Return the revision of a subtree in the table."""
        row = self.table.rows.get(f"settings{path}")
        return json.loads(row.value)["revision"] if row else 0

    def teardown(self):
        """Once the streams are whole, one poll anywhere brings all up to date."""
        self.table.set_mode("ok")
        for link in range(len(LINKS)):
            self.connect(link)
        self.poll_table(0)
        while self.run(self.call(self.deliver_all)):
            pass
        for process in self.processes:
            for path in ["/fleet", *PATHS]:
                held = process.service.view.revision(path)
                assert held == self.accepted(path)
        self.loop.close()

    def deliver_all(self) -> bool:
        """Deliver one message on each queue; returns whether there was any."""
        found = [link.deliver(end) for link in self.links.values() for end in (0, 1)]
        return any(found)


SpreadMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
TestSpreadMachine = SpreadMachine.TestCase
