"""Warns operators if a large share of a service's engines is not in use."""

from collections.abc import Iterable

from seamhold_membership import ServiceUse

from .logs import logger
from .metrics import Metrics

#: Share of unused engines above which a service is logged as a warning.
WARNED_SHARE = 1 / 3


class EngineUses:
    """Sets the gauges, and logs when a service rises above the warned share or drops below."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._log = logger('engine-uses')
        self._warned: set[str] = set()

    def record(self, uses: Iterable[ServiceUse]) -> None:
        """Record how many engines of each service are in use."""
        for use in uses:
            self._metrics.engine_use(use)
            if (use.unused_share > WARNED_SHARE) != (use.service in self._warned):
                self._warned ^= {use.service}
                self._log_change(use)

    def _log_change(self, use: ServiceUse) -> None:
        log = self._log.warning if use.service in self._warned else self._log.info
        log(
            'service.engines_unused',
            service=use.service,
            above_share=use.service in self._warned,
            used=use.used,
            unused=use.unused,
        )
