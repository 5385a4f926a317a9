"""How long peers have announced versions that this box does not have."""

from collections import deque

from msgspec import Struct

#: Announced versions that are kept; the oldest ones determine the lag.
VERSIONS_MAX = 64


class _Announced(Struct, frozen=True):
    version: int
    at: float


class UpdateLag:
    """The announced versions of one kind of state that are newer than this box's."""

    def __init__(self):
        self._newer: deque[_Announced] = deque()

    @property
    def announced(self) -> int:
        """The newest announced version that this box lacked at the last call, 0 for none."""
        return self._newer[-1].version if self._newer else 0

    def announce(self, version: int, own: int, now: float) -> None:
        """Record that a peer announces a version, while this box has version `own`."""
        if version > max(own, self.announced) and len(self._newer) < VERSIONS_MAX:
            self._newer.append(_Announced(version, now))

    def seconds(self, own: int, now: float) -> float:
        """Return for how long a version newer than `own` has been announced, 0 for none."""
        while self._newer and self._newer[0].version <= own:
            self._newer.popleft()
        return now - self._newer[0].at if self._newer else 0.0
