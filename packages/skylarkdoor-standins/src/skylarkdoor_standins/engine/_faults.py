"""Fault injection for the engine."""

import time
from collections.abc import Callable, Mapping
from typing import Any


class UnknownFaultError(Exception):
    """A fault to be set has an unknown name."""


class EngineFaults:
    """The faults that are currently injected into an engine.

    Args:
        crash_on: The process exits when it runs a prompt that contains this text;
            empty for none.
        clock: Returns monotonic time in seconds.

    Attributes:
        slow_factor: The factor by which the duration of every step is multiplied.
        cut_after_chunks: The number of chunks after which the connection of the next
            stream is aborted, or None.
        frozen_until: The monotonic time in seconds at which steps resume.
    """

    def __init__(
        self, *, crash_on: str = "", clock: Callable[[], float] = time.monotonic
    ):
        self.crash_on = crash_on
        self.slow_factor = 1.0
        self.cut_after_chunks: int | None = None
        self.frozen_until = 0.0
        self._clock = clock

    def update(self, settings: Mapping[str, Any]) -> None:
        """Set the given faults and leave the others unchanged.

        Raises:
            UnknownFaultError: A fault has an unknown name; no fault was set.
        """
        unknown = settings.keys() - self.as_dict().keys()
        if unknown:
            raise UnknownFaultError(f"unknown faults: {sorted(unknown)}")
        self.crash_on = settings.get("crash_on", self.crash_on) or ""
        self.slow_factor = settings.get("slow_factor", self.slow_factor)
        if "cut_after_chunks" in settings:
            self.cut_after_chunks = settings["cut_after_chunks"]
        if "freeze" in settings:
            self.frozen_until = self._clock() + settings["freeze"]

    @property
    def remaining_freeze_s(self) -> float:
        """The time in seconds until a freeze of the steps ends; 0 without a freeze."""
        return max(0.0, self.frozen_until - self._clock())

    def take_stream_cut(self) -> int | None:
        """Return and clear the number of chunks after which to cut a stream."""
        chunks, self.cut_after_chunks = self.cut_after_chunks, None
        return chunks

    def as_dict(self) -> dict[str, Any]:
        """Return the faults by name, as `update` accepts them."""
        return {
            "crash_on": self.crash_on,
            "slow_factor": self.slow_factor,
            "freeze": self.remaining_freeze_s,
            "cut_after_chunks": self.cut_after_chunks,
        }
