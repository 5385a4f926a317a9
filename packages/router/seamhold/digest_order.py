"""The order in which a box sends digests, so that a tight budget starves no peer."""

import random
from collections.abc import Iterable


class DigestOrder:
    """Orders peers by their last digest; those that never got one come first, shuffled."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._sent: dict[str, None] = {}

    def ordered(self, peers: Iterable[str]) -> list[str]:
        """Return all `peers`, the one with the oldest last digest first."""
        current = dict.fromkeys(peers)
        self._sent = {name: None for name in self._sent if name in current}
        never_sent = [name for name in current if name not in self._sent]
        self._rng.shuffle(never_sent)
        return [*never_sent, *self._sent]

    def record_sent(self, peer: str) -> None:
        """Record that a digest was sent to this peer now."""
        self._sent.pop(peer, None)
        self._sent[peer] = None
