"""Passes a box's counters of rejected and held calls on to its metrics."""

from collections.abc import Mapping

from .metrics import Metrics

#: First parts of the names of the counters that are passed on.
PASSED_ON = frozenset({'rejected', 'held', 'concurrency'})


class QueueCounts:
    """Adds to the metrics by how much the decider's counters have grown."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._before: dict[str, int] = {}

    def record(self, counts: Mapping[str, int]) -> None:
        """Record the current values of the decider's counters."""
        for name, count in counts.items():
            grown = count - self._before.get(name, 0)
            if grown and name.partition('.')[0] in PASSED_ON:
                self._before[name] = count
                self._metrics.count(name, grown)
