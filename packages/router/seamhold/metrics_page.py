"""The metrics page: a box's metrics in the text format of Prometheus."""

from collections.abc import Iterator
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.registry import Collector
from prometheus_client.utils import floatToGoString

from seamhold_membership import UnusedReason

from .metrics import PREFIX, Histogram, Metrics

IN_USE = 'in_use'


def page(metrics: Metrics) -> bytes:
    """Return the current values of all metrics."""
    registry = CollectorRegistry()
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry)


class _MetricsCollector(Collector):
    """Converts the metrics to metric families of prometheus_client."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily | HistogramMetricFamily]:
        yield self._events()
        for name, value in self._metrics.gauges().items():
            yield GaugeMetricFamily(f'{PREFIX}_{name}', 'As it stands now', value=value)
        yield self._latencies()
        yield self._belief_errors()
        yield self._engine_uses()
        yield self._concurrency_limits()
        yield from self._speeds()

    def _events(self) -> CounterMetricFamily:
        events = CounterMetricFamily(
            f'{PREFIX}_events', 'How often something happened, and why', labels=('what', 'why')
        )
        for name, count in self._metrics.counts().items():
            what, _, why = name.partition('.')
            events.add_metric((what, why), count)
        return events

    def _latencies(self) -> HistogramMetricFamily:
        calls = HistogramMetricFamily(
            f'{PREFIX}_call_seconds',
            "Seconds from a call's head to a stage of it",
            labels=('stage', 'service'),
        )
        for stage, histogram in self._metrics.latencies().items():
            calls.add_metric((stage.name, stage.service), _buckets(histogram), histogram.total)
        return calls

    def _engine_uses(self) -> GaugeMetricFamily:
        engines = GaugeMetricFamily(
            f'{PREFIX}_engines',
            'Listed engines that get new work from this box, and those that do not, by reason',
            labels=('service', 'use'),
        )
        for use in self._metrics.engine_uses():
            engines.add_metric((use.service, IN_USE), use.used)
            for reason in UnusedReason:
                engines.add_metric((use.service, reason), use.unused.get(reason, 0))
        return engines

    def _concurrency_limits(self) -> GaugeMetricFamily:
        limits = GaugeMetricFamily(
            f'{PREFIX}_concurrency_limit_calls',
            'Calls that this box may have at engines that do not report their load',
            labels=('service',),
        )
        for use in self._metrics.engine_uses():
            if use.concurrency_limit:
                limits.add_metric((use.service,), use.concurrency_limit)
        return limits

    def _speeds(self) -> Iterator[GaugeMetricFamily]:
        engines = GaugeMetricFamily(
            f'{PREFIX}_engines_with_speed',
            'Listed engines that lately reported how long work takes there',
            labels=('service',),
        )
        oldest = GaugeMetricFamily(
            f'{PREFIX}_oldest_speed_seconds',
            'Age of the oldest of these reports',
            labels=('service',),
        )
        for use in self._metrics.engine_uses():
            if use.speeds:
                engines.add_metric((use.service,), use.speeds)
                oldest.add_metric((use.service,), use.oldest_speed)
        yield engines
        yield oldest

    def _belief_errors(self) -> HistogramMetricFamily:
        errors = HistogramMetricFamily(
            f'{PREFIX}_belief_error_calls',
            'Calls that an engine told of with an answer, less those it was believed to have',
            labels=('service',),
        )
        for service, histogram in self._metrics.belief_errors().items():
            errors.add_metric((service,), _buckets(histogram), histogram.total)
        return errors


def _buckets(histogram: Histogram) -> list[tuple[str, int]]:
    """Return the upper bound and the cumulative count of each bucket."""
    bounds = [floatToGoString(bound) for bound in (*histogram.bounds, float('inf'))]
    return list(zip(bounds, accumulate(histogram.counts), strict=True))
