"""A byte budget for control traffic that cannot be exceeded."""


class ByteBudget:
    """A token bucket in bytes: nothing is sent that it does not grant.

    `rate` is in bytes a second; at most `burst_seconds` of it are saved up.
    """

    def __init__(self, rate: float, now: float, burst_seconds: float = 1.0):
        self.burst_seconds = burst_seconds
        self.rate = rate
        self.spent = 0
        self.denied = 0
        self._left = rate * burst_seconds
        self._at = now

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = now
        self._left = min(self.rate * self.burst_seconds, self._left + elapsed * self.rate)

    def allows(self, size: int, now: float) -> bool:
        """Whether `size` bytes might be sent now; spends nothing."""
        self._refill(now)
        return size <= self._left

    def left(self, now: float) -> int:
        """How many bytes might be sent now."""
        self._refill(now)
        return int(self._left)

    def take(self, size: int, now: float) -> bool:
        """Whether `size` bytes may be sent now; if so they are spent."""
        self._refill(now)
        if size > self._left:
            self.denied += 1
            return False
        self._left -= size
        self.spent += size
        return True
