"""Reports the items that peers do not get because they cannot be encoded."""

from .logs import LogOnce
from .metrics import Metrics


class UnencodableItems:
    """Counts these items, and logs each one once."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._log = LogOnce('peers', 'peers.item_unencodable')

    def record(self, items: list[object]) -> None:
        """Record the items that one reply left out."""
        for item in items:
            self._metrics.count('peers.item_unencodable')
            self._log.warning(ascii(item))
