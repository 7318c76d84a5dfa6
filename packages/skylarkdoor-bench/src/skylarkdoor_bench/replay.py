"""Public interface for replaying traces and checking their expected outcomes."""

from skylarkdoor_bench._replay import (
    ReplayFailedError,
    read_replay,
    replay_file,
    replay_files,
)

__all__ = ["ReplayFailedError", "read_replay", "replay_file", "replay_files"]
