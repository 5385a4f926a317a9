"""Determines how much memory this process may use."""

import os
import resource
from pathlib import Path

#: The limits of control groups, version 2 and 1, as seen from within the group.
GROUP_LIMITS = (
    Path('/sys/fs/cgroup/memory.max'),
    Path('/sys/fs/cgroup/memory/memory.limit_in_bytes'),
)


def box_memory_bytes() -> int:
    """Return the smallest of the machine's memory, the group's limit and the process's limits."""
    limits = [os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')]
    for kind in (resource.RLIMIT_AS, resource.RLIMIT_DATA):
        soft, _ = resource.getrlimit(kind)
        if soft != resource.RLIM_INFINITY:
            limits.append(soft)
    for path in GROUP_LIMITS:
        try:
            limits.append(int(path.read_text()))
        except (OSError, ValueError):
            # There is no such file, or it says 'max'.
            continue
    return min(limits)
