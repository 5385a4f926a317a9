"""Counters, gauges and latencies, for the metrics page and optionally statsd.

A counter's name is `what.why`, such as `refused.fleet_full`.  Names come from a small
fixed set and contain no ids.
"""

import threading
from bisect import bisect_left
from collections import Counter

from msgspec import Struct, field
from statsd import StatsClient

from seamhold_membership import ServiceUse

from .config import split_address

PREFIX = 'seamhold'
#: Upper bounds of the latency buckets, in seconds.
BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0)


#: Upper bounds of the buckets of belief errors, in calls.
ERROR_BUCKETS = (-32.0, -16.0, -8.0, -4.0, -2.0, 0.0, 2.0, 4.0, 8.0, 16.0, 32.0)


class Histogram(Struct):
    """Counts of values by bucket; `counts` has one more item than `bounds`.

    `total` is the sum of the values.
    """

    bounds: tuple[float, ...]
    counts: list[int] = field(default_factory=list)
    total: float = 0.0

    def __post_init__(self):
        self.counts = self.counts or [0] * (len(self.bounds) + 1)

    def add(self, value: float) -> None:
        """Count a value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    def copy(self) -> 'Histogram':
        """Return a copy that later values do not change."""
        return Histogram(self.bounds, self.counts.copy(), self.total)


class Stage(Struct, frozen=True):
    """A stage of the calls to one service."""

    name: str
    service: str


class Metrics:
    """Counts by name, gauges by name, and latencies by stage and service."""

    def __init__(self, statsd: str | None = None):
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._latencies: dict[Stage, Histogram] = {}
        self._belief_errors: dict[str, Histogram] = {}
        self._engine_uses: dict[str, ServiceUse] = {}
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

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to its current value."""
        with self._lock:
            self._gauges[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Send a duration to statsd."""
        if self._client:
            self._client.timing(name, seconds * 1000)

    def latency(self, stage: str, service: str, seconds: float) -> None:
        """Record the seconds from a call's head until it reached `stage`."""
        with self._lock:
            self._latencies.setdefault(Stage(stage, service), Histogram(BUCKETS)).add(seconds)
        self.timing(f'{stage}.{service}', seconds)

    def belief_error(self, service: str, calls: int) -> None:
        """Record how many more calls an engine reported than this box assumed."""
        with self._lock:
            self._belief_errors.setdefault(service, Histogram(ERROR_BUCKETS)).add(calls)

    def engine_use(self, use: ServiceUse) -> None:
        """Record how many engines of a service get new work, and how many do not."""
        with self._lock:
            self._engine_uses[use.service] = use

    def engine_uses(self) -> list[ServiceUse]:
        """Return by service how many engines get new work from this box."""
        with self._lock:
            return list(self._engine_uses.values())

    def counts(self) -> dict[str, int]:
        """Return all counters."""
        with self._lock:
            return dict(sorted(self._counts.items()))

    def gauges(self) -> dict[str, float]:
        """Return all gauges."""
        with self._lock:
            return dict(sorted(self._gauges.items()))

    def latencies(self) -> dict[Stage, Histogram]:
        """Return a copy of all latency histograms."""
        with self._lock:
            return {stage: histogram.copy() for stage, histogram in self._latencies.items()}

    def belief_errors(self) -> dict[str, Histogram]:
        """Return by service a copy of the histogram of errors in the assumed loads."""
        with self._lock:
            return {service: histogram.copy() for service, histogram in self._belief_errors.items()}

    def page(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        # Imported at the first request of the page: the import takes 0.03 s of CPU time,
        # which would delay the start of the box (`python -m measure start`).
        from .metrics_page import page

        return page(self)
