"""Counters and latencies: on the metrics page, and by statsd where one listens.

A counter's name is `what.why`, such as `refused.fleet_full`.  Names are few
and fixed: none holds an id.
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


#: Upper bounds of the buckets of beliefs' errors, in calls.
ERROR_BUCKETS = (-32.0, -16.0, -8.0, -4.0, -2.0, 0.0, 2.0, 4.0, 8.0, 16.0, 32.0)


class Histogram(Struct):
    """How often a figure lay in which bucket; `counts` has one place more than `bounds`.

    `total` is the sum of the figures.
    """

    bounds: tuple[float, ...]
    counts: list[int] = field(default_factory=list)
    total: float = 0.0

    def __post_init__(self):
        self.counts = self.counts or [0] * (len(self.bounds) + 1)

    def add(self, figure: float) -> None:
        """Note one."""
        self.counts[bisect_left(self.bounds, figure)] += 1
        self.total += figure

    def copy(self) -> 'Histogram':
        """As it stands."""
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
        """Note how something stands now."""
        with self._lock:
            self._gauges[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Tell statsd how long something took."""
        if self._client:
            self._client.timing(name, seconds * 1000)

    def latency(self, stage: str, service: str, seconds: float) -> None:
        """Note how long after its head a call came to `stage`."""
        with self._lock:
            self._latencies.setdefault(Stage(stage, service), Histogram(BUCKETS)).add(seconds)
        self.timing(f'{stage}.{service}', seconds)

    def belief_error(self, service: str, calls: int) -> None:
        """Note how many more calls an engine told of than were believed to be there."""
        with self._lock:
            self._belief_errors.setdefault(service, Histogram(ERROR_BUCKETS)).add(calls)

    def engine_use(self, use: ServiceUse) -> None:
        """Note how many engines of a service get new work, and how many do not."""
        with self._lock:
            self._engine_uses[use.service] = use

    def engine_uses(self) -> list[ServiceUse]:
        """By service, how many engines get new work as far as this box believes."""
        with self._lock:
            return list(self._engine_uses.values())

    def counts(self) -> dict[str, int]:
        """All counters as they stand."""
        with self._lock:
            return dict(sorted(self._counts.items()))

    def gauges(self) -> dict[str, float]:
        """All gauges as they stand."""
        with self._lock:
            return dict(sorted(self._gauges.items()))

    def latencies(self) -> dict[Stage, Histogram]:
        """All latencies as they stand."""
        with self._lock:
            return {stage: held.copy() for stage, held in self._latencies.items()}

    def belief_errors(self) -> dict[str, Histogram]:
        """By service, how far beliefs of engines' loads were off."""
        with self._lock:
            return {service: held.copy() for service, held in self._belief_errors.items()}

    def page(self) -> bytes:
        """Everything in the text format of Prometheus."""
        # Loaded when somebody first asks: 0.03 s of processor time that callers
        # do not wait for at a start (`python -m measure start`).
        from .metrics_page import page

        return page(self)
