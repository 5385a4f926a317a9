"""The speed that each engine last reported, to this box or to a peer.

An engine states with its answers how long work takes there at the moment. The figure changes
many times a second, so a speed is kept with its time, and its reader decides how far to trust it
at its age.
"""

from collections.abc import Iterable

from msgspec import Struct

#: A speed is dropped when it is older than this, in seconds: it says little about the present.
#: Readings from peers are accepted up to the age at which a reading of load expires, 2 s.
SPEED_SECONDS = 3.0


class Slowness(Struct, frozen=True):
    """How long work takes at an engine as a multiple of the usual time (1.0 is usual).

    `age` is the number of seconds since the engine reported it, at most SPEED_SECONDS. If a peer
    relayed the report, it is an upper bound apart from the time in transit.
    """

    value: float
    age: float


class _Speed(Struct, frozen=True):
    slowness: float
    at: float


class SpeedTable:
    """The newest speed of each engine that reported one in the last SPEED_SECONDS."""

    def __init__(self):
        self._speeds: dict[str, _Speed] = {}

    def record(self, engine: str, slowness: float, at: float) -> bool:
        """Record that `engine` reported a speed at time `at`; return whether it is the newest."""
        current = self._speeds.get(engine)
        if current is not None and at <= current.at:
            return False
        self._speeds[engine] = _Speed(slowness, at)
        return True

    def slowness(self, engine: str, now: float) -> Slowness | None:
        """Return the newest speed of an engine, None if it reported none lately."""
        speed = self._speeds.get(engine)
        if speed is None or now - speed.at > SPEED_SECONDS:
            return None
        return Slowness(speed.slowness, max(0.0, now - speed.at))

    def ages(self, engines: Iterable[str], now: float) -> list[float]:
        """Return the ages in seconds of the speeds that are known of `engines`."""
        speeds = (self.slowness(engine, now) for engine in engines)
        return [speed.age for speed in speeds if speed is not None]

    def expire(self, now: float) -> None:
        """Drop the speeds that are older than SPEED_SECONDS."""
        for engine, speed in list(self._speeds.items()):
            if now - speed.at > SPEED_SECONDS:
                del self._speeds[engine]
