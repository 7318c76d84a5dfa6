"""Named invariants asserted while the program runs."""

from skylarkdoor._invariants import Invariant, check, configure, define

__all__ = ["Invariant", "check", "configure", "define"]
