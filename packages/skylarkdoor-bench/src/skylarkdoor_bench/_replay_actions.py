"""Steps of a trace that perform an action: requests, signals and faults."""

import asyncio
from typing import Literal, NamedTuple

from skylarkdoor_bench._replay_context import Replay
from skylarkdoor_bench._trace import Arrival


class SendRequest(NamedTuple):
    """Sends a request at its arrival time, without waiting for the reply.

    Attributes:
        name: Name by which later steps refer to the request.
        arrival: The request.
        entry: Index of the entry to which it is sent.
        number: Number that the prompt contains, so that prompts differ.
        resends: Whether the request is retried while it is refused.
    """

    name: str
    arrival: Arrival
    entry: int = 0
    number: int = 0
    resends: bool = False

    async def run(self, replay: Replay) -> None:
        """Send the request."""
        await asyncio.sleep(self.arrival.at_s - replay.now_s())
        replay.send(
            self.name,
            self.arrival,
            entry=self.entry,
            number=self.number,
            resends=self.resends,
        )


class Signal(NamedTuple):
    """Kills, pauses, resumes, terminates or starts a process."""

    process: str
    action: Literal["kill", "pause", "resume", "terminate", "start"]

    async def run(self, replay: Replay) -> None:
        """Perform the action; ``terminate`` does not wait for the process to end."""
        process = replay.cluster.processes[self.process]
        match self.action:
            case "kill":
                await process.kill()
            case "pause":
                process.pause()
            case "resume":
                process.resume()
            case "terminate":
                process.send_sigterm()
            case "start":
                await replay.cluster.restart(self.process)


class PlatformFault(NamedTuple):
    """Sets the fault mode of one of the platform's services."""

    service: str
    mode: str

    async def run(self, replay: Replay) -> None:
        """Set the fault."""
        await replay.cluster.platform.fault(self.service, self.mode)


class UpstreamFault(NamedTuple):
    """Slows down or freezes an engine.

    Attributes:
        upstream: Name of the engine.
        slow_factor: Factor by which each step takes longer.
        freeze: Time for which the engine stops, in seconds.
    """

    upstream: str
    slow_factor: float = 1.0
    freeze: float = 0.0

    async def run(self, replay: Replay) -> None:
        """Set the fault."""
        await replay.cluster.upstream_fault(
            self.upstream, slow_factor=self.slow_factor, freeze=self.freeze
        )


class ListState(NamedTuple):
    """Sets the state of an instance in the platform's instance list."""

    instance: str
    state: Literal["live", "leaving"]

    async def run(self, replay: Replay) -> None:
        """Set the state."""
        await replay.cluster.platform.set_state(self.instance, self.state)


class Pause(NamedTuple):
    """Waits for a fixed time."""

    seconds: float

    async def run(self, replay: Replay) -> None:
        """Wait."""
        await asyncio.sleep(self.seconds)


class Mark(NamedTuple):
    """Records how many requests an upstream has executed, for `NoNewWork`."""

    upstream: str

    async def run(self, replay: Replay) -> None:
        """Record the number."""
        replay.marks[self.upstream] = await replay.executions(self.upstream)
