"""Reports the items that peers do not get because they cannot be encoded."""

from .logs import logger
from .metrics import Metrics

#: An item is logged up to this many characters, once; at most this many are.
LOGGED_CHARS_MAX = 200
LOGGED_ITEMS_MAX = 50


class UnencodableItems:
    """Counts these items, and logs each one once."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._log = logger('peers')
        self._logged: set[str] = set()

    def record(self, items: list[object]) -> None:
        """Record the items that one reply left out."""
        for item in items:
            self._metrics.count('peers.item_unencodable')
            text = ascii(item)[:LOGGED_CHARS_MAX]
            if text not in self._logged and len(self._logged) < LOGGED_ITEMS_MAX:
                self._logged.add(text)
                self._log.warning('peers.item_unencodable', item=text)
