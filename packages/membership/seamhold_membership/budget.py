"""A hard byte budget for control traffic."""


class ByteBudget:
    """A token bucket in bytes; senders send only what it grants.

    `rate` is in bytes per second; the bucket holds at most `burst_seconds` worth of bytes.
    `spent` counts the granted bytes, `denied` the refused requests.
    """

    def __init__(self, rate: float, now: float, burst_seconds: float = 1.0):
        self.burst_seconds = burst_seconds
        self.rate = rate
        self.spent = 0
        self.denied = 0
        self._available = rate * burst_seconds
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._available = min(self.rate * self.burst_seconds, self._available + elapsed * self.rate)

    def allows(self, size: int, now: float) -> bool:
        """Return whether `size` bytes may be sent now, without spending them."""
        self._refill(now)
        return size <= self._available

    def available(self, now: float) -> int:
        """Return the number of bytes that may be sent now."""
        self._refill(now)
        return int(self._available)

    def take(self, size: int, now: float) -> bool:
        """Spend `size` bytes; False, with nothing spent, if fewer are available."""
        self._refill(now)
        if size > self._available:
            self.denied += 1
            return False
        self._available -= size
        self.spent += size
        return True
