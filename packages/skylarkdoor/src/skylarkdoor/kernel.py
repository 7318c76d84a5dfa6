"""The micro-kernel: registration, lookup and start order of services."""

from skylarkdoor._kernel import Kernel, Service

__all__ = ["Kernel", "Service"]
