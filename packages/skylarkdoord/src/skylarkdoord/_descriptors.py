"""How many descriptors this process may open."""

import resource

# Descriptors of a process without a limit.
MAX_DESCRIPTORS = 1024 * 1024


def max_descriptors() -> int:
    """Return the most descriptors that this process may open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_DESCRIPTORS
    return descriptors
