"""Reading of JSON that somebody else wrote."""

from skylarkdoor._untrusted_json import decode, loads

__all__ = ["decode", "loads"]
