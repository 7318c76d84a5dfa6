"""Lines of a trace that do something: requests and faults."""

import asyncio
from typing import Literal, NamedTuple

from skylarkdoor_bench._replay_context import Replay
from skylarkdoor_bench._trace import Arrival


class SendRequest(NamedTuple):
    """Sends a request at its time and goes on at once.

    Attributes:
        name: Name for later lines.
        arrival: The request.
        entry: Index of the entry that it goes to.
        number: Makes its text unlike that of other numbers.
        resends: Whether it is sent again for as long as it is refused.
    """

    name: str
    arrival: Arrival
    entry: int = 0
    number: int = 0
    resends: bool = False

    async def run(self, replay: Replay) -> None:
        """Send it."""
        await asyncio.sleep(self.arrival.at_s - replay.now_s())
        replay.send(
            self.name,
            self.arrival,
            entry=self.entry,
            number=self.number,
            resends=self.resends,
        )


class Signal(NamedTuple):
    """Kills, pauses, resumes, asks to end or starts a process."""

    process: str
    action: Literal["kill", "pause", "resume", "terminate", "start"]

    async def run(self, replay: Replay) -> None:
        """Do so; an asked end is not waited for."""
        process = replay.cluster.processes[self.process]
        match self.action:
            case "kill":
                await process.kill()
            case "pause":
                process.pause()
            case "resume":
                process.resume()
            case "terminate":
                process.ask_to_end()
            case "start":
                await replay.cluster.restart(self.process)


class PlatformFault(NamedTuple):
    """Sets the fault of one of the platform's services."""

    service: str
    mode: str

    async def run(self, replay: Replay) -> None:
        """Set it."""
        await replay.cluster.platform.fault(self.service, self.mode)


class UpstreamFault(NamedTuple):
    """Sets the speed or the freeze of an engine."""

    upstream: str
    slow_factor: float = 1.0
    freeze: float = 0.0

    async def run(self, replay: Replay) -> None:
        """Set it."""
        await replay.cluster.upstream_fault(
            self.upstream, slow_factor=self.slow_factor, freeze=self.freeze
        )


class ListState(NamedTuple):
    """Lists an instance as live or leaving."""

    instance: str
    state: Literal["live", "leaving"]

    async def run(self, replay: Replay) -> None:
        """Tell the platform."""
        await replay.cluster.platform.set_state(self.instance, self.state)


class Pause(NamedTuple):
    """Lets time pass."""

    seconds: float

    async def run(self, replay: Replay) -> None:
        """Wait."""
        await asyncio.sleep(self.seconds)


class Mark(NamedTuple):
    """Notes how much work an upstream was given so far."""

    upstream: str

    async def run(self, replay: Replay) -> None:
        """Note it."""
        replay.marks[self.upstream] = await replay.executions(self.upstream)
