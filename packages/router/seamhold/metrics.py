"""Counters and latencies: on the metrics page, and by statsd where one listens.

A counter's name is `what.why`, such as `refused.fleet_full`.  Names are few
and fixed: none holds an id.
"""

import threading
from collections import Counter
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector
from statsd import StatsClient

from .config import split_address

PREFIX = 'seamhold'
#: Upper bounds of the latency buckets, in seconds.
BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0)


class Metrics(Collector):
    """Counts by name, gauges by name, and latencies by stage and service."""

    def __init__(self, statsd: str | None = None):
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._lock = threading.Lock()
        self._client = None
        if statsd:
            address = split_address(statsd)
            self._client = StatsClient(address.host, address.port, prefix=PREFIX)
        self._registry = CollectorRegistry()
        self._registry.register(self)
        self._latency = Histogram(
            f'{PREFIX}_call_seconds',
            "Seconds from a call's head to a stage of it",
            ('stage', 'service'),
            buckets=BUCKETS,
            registry=self._registry,
        )

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
        self._latency.labels(stage, service).observe(seconds)
        self.timing(f'{stage}.{service}', seconds)

    def counts(self) -> dict[str, int]:
        """All counters as they stand."""
        with self._lock:
            return dict(sorted(self._counts.items()))

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """What the metrics page shows besides latencies."""
        events = CounterMetricFamily(
            f'{PREFIX}_events', 'How often something happened, and why', labels=('what', 'why')
        )
        for name, count in self.counts().items():
            what, _, why = name.partition('.')
            events.add_metric((what, why), count)
        yield events
        with self._lock:
            gauges = dict(self._gauges)
        for name, value in sorted(gauges.items()):
            yield GaugeMetricFamily(f'{PREFIX}_{name}', 'As it stands now', value=value)

    def page(self) -> bytes:
        """Everything in the text format of Prometheus."""
        return generate_latest(self._registry)
