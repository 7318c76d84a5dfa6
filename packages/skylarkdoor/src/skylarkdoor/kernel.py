"""The micro-kernel: services, their names and their order."""

from skylarkdoor._kernel import Kernel, Service

__all__ = ["Kernel", "Service"]
