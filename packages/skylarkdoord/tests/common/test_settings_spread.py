"""Tests that settings spread among processes despite lost streams and restarts."""

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
    """Platform that has only a table."""

    table: FakeTable


class Process:
    """The settings service and the poll of one process."""

    def __init__(self, table: FakeTable):
        self.service = SettingsService()
        self.poll = poll.SettingsPoll(FakePlatform(table), self.service)
        self.previous_revisions: dict[str, int] = {}


class Link:
    """A stream between two processes, with the messages in flight."""

    def __init__(self, one: Process, other: Process):
        self.queues = (deque(), deque())
        self.ends: tuple[Exchange, Exchange] = (
            one.service.exchanges.open(pb.EntryMessage, self.queues[1].append),
            other.service.exchanges.open(pb.SidecarMessage, self.queues[0].append),
        )

    def deliver(self, end: int) -> bool:
        """Let one end handle its next message; return whether there was one."""
        if not self.queues[end]:
            return False
        assert self.ends[end].handle(self.queues[end].popleft())
        return True

    def cut(self) -> None:
        """Drop the messages in flight and close both ends of the stream."""
        for queue in self.queues:
            queue.clear()
        for end in self.ends:
            end.close()


class SpreadMachine(RuleBasedStateMachine):
    """Three processes with lost streams, restarts and table faults."""

    def __init__(self):
        super().__init__()
        poll.PEER_UPDATE_WAIT_S = 0.0
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
        """Open all streams and load the fleet's settings in all processes."""
        for link in range(len(LINKS)):
            self.connect(link)
        for process in range(PROCESSES):
            self.poll_table(process)

    def run(self, awaitable):
        """Run an awaitable; ignore errors due to table faults."""
        with contextlib.suppress(PlatformError):
            return self.loop.run_until_complete(awaitable)

    async def call(self, function, *arguments):
        """Call a function inside the event loop."""
        return function(*arguments)

    @rule(process=st.integers(0, PROCESSES - 1), path=st.sampled_from(PATHS))
    def accept(self, process, path):
        """Let a process accept an operator's change."""
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
        self.run(self.call(service.apply_row, path, accepted.row))
        self.accepted_rows.append((path, accepted.row))

    @rule(process=st.integers(0, PROCESSES - 1), choice=st.integers(0, 50))
    def offer_stale_row(self, process, choice):
        """Let a process receive a row accepted earlier, as from a stale read."""
        if self.accepted_rows:
            path, row = self.accepted_rows[choice % len(self.accepted_rows)]
            service = self.processes[process].service
            self.run(self.call(service.apply_row, path, row))

    @rule(link=st.integers(0, len(LINKS) - 1), end=st.integers(0, 1))
    def deliver(self, link, end):
        """Deliver one message."""
        if link in self.links:
            self.run(self.call(self.links[link].deliver, end))

    @rule(process=st.integers(0, PROCESSES - 1), path=st.sampled_from(PATHS))
    def accept_and_end(self, process, path):
        """Let a process accept a change and restart before it notifies its peers."""
        self.accept(process, path)
        self.restart(process)

    @rule(rounds=st.integers(1, 6))
    def deliver_some(self, rounds):
        """Deliver messages in flight for some rounds."""
        for _ in range(rounds):
            self.run(self.call(self.deliver_all))

    @rule(link=st.integers(0, len(LINKS) - 1))
    def connect(self, link):
        """Open a stream, closing the previous one."""
        self.cut(link)
        one, other = (self.processes[index] for index in LINKS[link])
        self.links[link] = self.run(self.call(Link, one, other))

    @rule(link=st.integers(0, len(LINKS) - 1))
    def cut(self, link):
        """Close a stream."""
        closed_link = self.links.pop(link, None)
        if closed_link is not None:
            self.run(self.call(closed_link.cut))

    @rule(process=st.integers(0, PROCESSES - 1))
    def poll_table(self, process):
        """Let a process poll the table."""
        self.run(self.processes[process].poll.check())

    @rule(process=st.integers(0, PROCESSES - 1))
    def restart(self, process):
        """Replace a process by one without settings."""
        for link, ends in enumerate(LINKS):
            if process in ends:
                self.cut(link)
        self.processes[process] = Process(self.table)

    @rule(mode=st.sampled_from(["ok", "ok", "down", "stale"]))
    def fault(self, mode):
        """Set the fault mode of the table."""
        self.table.set_mode(mode)

    @invariant()
    def never_reverts(self):
        """No active revision decreases or is higher than the accepted one."""
        for process in self.processes:
            active = process.service.revisions()
            for path, revision in process.previous_revisions.items():
                assert active[path] >= revision
            for path, revision in active.items():
                assert revision <= self.accepted(path)
            process.previous_revisions = active

    def accepted(self, path: str) -> int:
        """Return the revision of a subtree in the table."""
        row = self.table.rows.get(f"settings{path}")
        return json.loads(row.value)["revision"] if row else 0

    def teardown(self):
        """When all streams are open again, one poll by one process updates all."""
        self.table.set_mode("ok")
        for link in range(len(LINKS)):
            self.connect(link)
        self.poll_table(0)
        while self.run(self.call(self.deliver_all)):
            pass
        for process in self.processes:
            for path in ["/fleet", *PATHS]:
                active = process.service.view.revision(path)
                assert active == self.accepted(path)
        self.loop.close()

    def deliver_all(self) -> bool:
        """Deliver one message from each queue; return whether there was any."""
        found = [link.deliver(end) for link in self.links.values() for end in (0, 1)]
        return any(found)


SpreadMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
TestSpreadMachine = SpreadMachine.TestCase
