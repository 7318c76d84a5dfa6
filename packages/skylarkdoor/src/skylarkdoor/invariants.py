"""Named invariants that are checked at run time."""

from skylarkdoor._invariants import Invariant, check, configure, define

__all__ = ["Invariant", "check", "configure", "define"]
