"""Tells operators when much of a service is out of use to this box."""

from collections.abc import Iterable

from seamhold_membership import ServiceUse

from .logs import logger
from .metrics import Metrics

#: Above this share of unused engines a service is worth a warning.
WARNED_SHARE = 1 / 3


class EngineUses:
    """Keeps the gauges, and logs when a service passes the share and comes back."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._log = logger('engine-uses')
        self._warned: set[str] = set()

    def note(self, uses: Iterable[ServiceUse]) -> None:
        """How many engines are in use now."""
        for use in uses:
            self._metrics.engine_use(use)
            if (use.unused_share > WARNED_SHARE) != (use.service in self._warned):
                self._warned ^= {use.service}
                self._tell(use)

    def _tell(self, use: ServiceUse) -> None:
        tell = self._log.warning if use.service in self._warned else self._log.info
        tell(
            'service.engines_unused',
            service=use.service,
            above_share=use.service in self._warned,
            used=use.used,
            unused=use.unused,
        )
