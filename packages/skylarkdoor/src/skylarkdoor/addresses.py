"""Network addresses."""

from skylarkdoor._addresses import HostPort, parse_address

__all__ = ["HostPort", "parse_address"]
