"""Faults of an engine, set on demand."""

from dataclasses import dataclass


@dataclass
class EngineFaults:
    """What goes wrong.

    ``crash_on`` ends the process while a prompt that contains the text is run,
    ``slow_factor`` stretches every step, ``freeze`` stops the steps once for so
    many seconds, and ``cut_after_chunks`` cuts the next stream after so many.
    """

    crash_on: str | None = None
    slow_factor: float = 1.0
    freeze: float = 0.0
    cut_after_chunks: int | None = None

    def take_freeze_s(self) -> float:
        """Return the seconds to freeze for, once."""
        freeze_s, self.freeze = self.freeze, 0.0
        return freeze_s

    def take_cut(self) -> int | None:
        """Return after how many chunks to cut a stream, once."""
        chunks, self.cut_after_chunks = self.cut_after_chunks, None
        return chunks
