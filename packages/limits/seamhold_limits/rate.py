"""Token bucket for limits in calls per second."""


class TokenBucket:
    """Grants `rate` units per second and accumulates at most `burst` units."""

    def __init__(self, rate: float, burst: float, now: float):
        self.rate = rate
        self.burst = burst
        self._available = burst
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._available = min(self.burst, self._available + elapsed * self.rate)

    def take(self, amount: float, now: float) -> bool:
        """Take `amount` if it is available now; return whether it was."""
        self._refill(now)
        if self._available < amount:
            return False
        self._available -= amount
        return True

    def wait(self, amount: float, now: float) -> float:
        """Return the seconds until `amount` is available, infinity if the rate is zero."""
        self._refill(now)
        if self.rate <= 0:
            return float('inf')
        return max(0.0, (amount - self._available) / self.rate)
