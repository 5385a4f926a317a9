"""Decides which callers that read slowly are dropped when threads or memory run short.

Pure functions and classes: the times are passed in, in seconds on the box's clock.
"""

from collections.abc import Iterable
from enum import StrEnum

from msgspec import Struct

#: A caller is not dropped before its response was blocked for this long, in seconds, so that
#: a delay of a few round trips drops nobody.
BLOCKED_SECONDS_MIN = 0.25
#: A caller that reads at least this much per second is never dropped: 256 kbit/s, a quarter
#: of a slow mobile link.
FAST_BYTES_PER_SECOND = 32 * 1024
#: Reads are counted over one to two of these periods, in seconds, so that a caller that
#: stops reading is soon judged by that and not by what it read before.
RATE_SECONDS = 2.0
#: A complete response stays buffered for this long without progress, in seconds.  A caller
#: that reads nothing for longer has almost always lost its connection.
COMPLETE_STALL_SECONDS = 120.0


class DropReason(StrEnum):
    """Why a slow caller's connection is closed."""

    THREADS = 'threads'
    MEMORY = 'memory'
    STALLED = 'stalled'
    CLOSED = 'closed'


class ReadRate:
    """Bytes per second that a caller has read recently."""

    def __init__(self, now: float):
        self._since = now
        self._earlier_since = now
        self._earlier = 0
        self._bytes = 0

    def add(self, size: int, now: float) -> None:
        """Record that the caller has made room for `size` bytes."""
        self._advance(now)
        self._bytes += size

    def per_second(self, now: float) -> float:
        """Return the bytes per second over the last one to two periods."""
        self._advance(now)
        return (self._earlier + self._bytes) / max(now - self._earlier_since, BLOCKED_SECONDS_MIN)

    def _advance(self, now: float) -> None:
        passed = now - self._since
        if passed < RATE_SECONDS:
            return
        # After two periods without an update, the period before this one had no reads.
        recent = passed < 2 * RATE_SECONDS
        self._earlier = self._bytes if recent else 0
        self._earlier_since = self._since if recent else now - RATE_SECONDS
        self._bytes = 0
        self._since = now


class SlowCaller(Struct, frozen=True):
    """A caller whose response is blocked.

    `blocked_for` is how long its connection has not taken all that was written, and
    `stalled_for` how long it has taken nothing, both in seconds; `rate` is in bytes per
    second.  `waits` states that a thread waits for room, and `complete` that its whole
    response is buffered.
    """

    key: int
    blocked_for: float
    stalled_for: float
    rate: float
    held_bytes: int
    waits: bool
    complete: bool


class Shortage(Struct, frozen=True):
    """What should be freed: a number of threads, and bytes of buffered responses."""

    threads: int = 0
    memory: int = 0


def choose_dropped(
    callers: Iterable[SlowCaller], shortage: Shortage, stall_seconds: float
) -> dict[int, DropReason]:
    """Return the callers to drop by key, those that read least for longest first.

    A caller that reads nothing for `stall_seconds` is dropped without a shortage, unless its
    response is complete.  Threads are freed before memory, as that frees memory, too.
    """
    dropped: dict[int, DropReason] = {}
    candidates = []
    for caller in callers:
        limit = COMPLETE_STALL_SECONDS if caller.complete else stall_seconds
        if caller.stalled_for >= limit:
            dropped[caller.key] = DropReason.STALLED
            shortage = _after(shortage, caller)
        elif caller.blocked_for >= BLOCKED_SECONDS_MIN and caller.rate < FAST_BYTES_PER_SECOND:
            candidates.append(caller)
    candidates.sort(key=lambda caller: (caller.rate, -caller.blocked_for))
    for caller in candidates:
        if shortage.threads > 0 and caller.waits:
            dropped[caller.key] = DropReason.THREADS
            shortage = _after(shortage, caller)
    for caller in candidates:
        if shortage.memory > 0 and caller.key not in dropped:
            dropped[caller.key] = DropReason.MEMORY
            shortage = _after(shortage, caller)
    return dropped


def _after(shortage: Shortage, caller: SlowCaller) -> Shortage:
    return Shortage(shortage.threads - caller.waits, shortage.memory - caller.held_bytes)
