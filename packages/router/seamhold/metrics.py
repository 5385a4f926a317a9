"""Counters: kept for the status page, and sent by statsd where one listens."""

import threading
from collections import Counter

from statsd import StatsClient

from .config import split_address

PREFIX = 'seamhold'


class Metrics:
    """Counts by name; a name is `what.why`, such as `refused.fleet_full`."""

    def __init__(self, statsd: str | None = None):
        self._counts: Counter[str] = Counter()
        self._lock = threading.Lock()
        self._client = None
        if statsd:
            address = split_address(statsd)
            self._client = StatsClient(address.host, address.port, prefix=PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        with self._lock:
            self._counts[name] += amount
        if self._client:
            self._client.incr(name, amount)

    def timing(self, name: str, seconds: float) -> None:
        """Tell statsd how long something took."""
        if self._client:
            self._client.timing(name, seconds * 1000)

    def page(self) -> bytes:
        """All counters as a text page."""
        lines = [f'{PREFIX}_{name} {count}' for name, count in self.counts().items()]
        return ('\n'.join(lines) + '\n').encode()

    def counts(self) -> dict[str, int]:
        """All counters as they stand."""
        with self._lock:
            return dict(sorted(self._counts.items()))
