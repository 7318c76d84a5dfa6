"""Faults of an engine, set on demand."""

import time
from collections.abc import Callable, Mapping
from typing import Any


class UnknownFaultError(Exception):
    """There is no fault of this name."""


class EngineFaults:
    """What goes wrong with an engine.

    Args:
        crash_on: Ends the process while a prompt that contains the text is run.
        clock: Source of monotonic seconds.

    Attributes:
        slow_factor: Stretches every step.
        cut_after_chunks: Cuts the next stream after so many chunks.
        frozen_until: When steps go on again.
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
        """Set the faults named.

        Raises:
            UnknownFaultError: One of them does not exist; none was set.
        """
        unknown = settings.keys() - self.as_dict().keys()
        if unknown:
            raise UnknownFaultError(f"no fault {sorted(unknown)}")
        self.crash_on = settings.get("crash_on", self.crash_on) or ""
        self.slow_factor = settings.get("slow_factor", self.slow_factor)
        if "cut_after_chunks" in settings:
            self.cut_after_chunks = settings["cut_after_chunks"]
        if "freeze" in settings:
            self.frozen_until = self._clock() + settings["freeze"]

    @property
    def freeze_s(self) -> float:
        """The seconds for which steps stand still from now on."""
        return max(0.0, self.frozen_until - self._clock())

    def take_cut(self) -> int | None:
        """Return after how many chunks to cut a stream, once."""
        chunks, self.cut_after_chunks = self.cut_after_chunks, None
        return chunks

    def as_dict(self) -> dict[str, Any]:
        """Return the faults by the names under which they are set."""
        return {
            "crash_on": self.crash_on,
            "slow_factor": self.slow_factor,
            "freeze": self.freeze_s,
            "cut_after_chunks": self.cut_after_chunks,
        }
