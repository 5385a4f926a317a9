"""The clock that a box uses."""

import time


def boot_seconds() -> float:
    """Return the seconds since the machine started, including time in suspension.

    The monotonic clock stops while the machine is suspended: after it resumes, the ages of
    reports from peers and engines would be too low, and deadlines and rests would end too
    late.
    Timed waits use the monotonic clock nevertheless: check this clock after a wait.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
