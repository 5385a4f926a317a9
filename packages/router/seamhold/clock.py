"""The clock that a box goes by."""

import time


def boot_seconds() -> float:
    """Seconds since the machine started, those included for which it was suspended.

    The steady clock stands while a machine is suspended: by it deadlines, ages of what
    peers and engines told, and rests would all be younger than they are when it wakes.
    Timed waits go by the steady clock nevertheless, so who waits looks at this one after.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
