"""A token bucket for calls a second."""


class TokenBucket:
    """Grants `rate` units a second; saves up at most `burst` units."""

    def __init__(self, rate: float, burst: float, now: float):
        self.rate = rate
        self.burst = burst
        self._left = burst
        self._at = now

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = now
        self._left = min(self.burst, self._left + elapsed * self.rate)

    def take(self, amount: float, now: float) -> bool:
        """Whether `amount` is granted now."""
        self._refill(now)
        if self._left < amount:
            return False
        self._left -= amount
        return True

    def wait(self, amount: float, now: float) -> float:
        """Seconds until `amount` could be granted."""
        self._refill(now)
        if self.rate <= 0:
            return float('inf')
        return max(0.0, (amount - self._left) / self.rate)
