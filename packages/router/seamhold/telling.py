"""In which order a box tells its peers, so that a short budget starves none."""

import random
from collections.abc import Iterable


class TellingOrder:
    """Peers by when they were told last; those never told come first, at random."""

    def __init__(self, chance: random.Random):
        self._chance = chance
        self._told: dict[str, None] = {}

    def of(self, peers: Iterable[str]) -> list[str]:
        """All `peers`, the one that was told longest ago first."""
        wanted = dict.fromkeys(peers)
        self._told = {name: None for name in self._told if name in wanted}
        fresh = [name for name in wanted if name not in self._told]
        self._chance.shuffle(fresh)
        return [*fresh, *self._told]

    def told(self, peer: str) -> None:
        """This peer was told now."""
        self._told.pop(peer, None)
        self._told[peer] = None
