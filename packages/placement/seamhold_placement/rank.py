"""Weighted rendezvous hashing: every box ranks engines alike, with no table.

A change of one engine moves only the chats that rank it first.  The score
`-weight / ln(u)` is Thaler and Ravishankar's highest random weight with the
logarithmic weights of Schindelhauer and Schomaker.
"""

import math
from collections.abc import Iterable

from seamhold_messages.hashing import hash64

HASH_SPAN = float(2**64)


def score(key: str, member: str, weight: float) -> float:
    """How strongly `member` attracts `key`; higher is better."""
    digest = hash64(f'{member}\0{key}')
    unit = (digest + 0.5) / HASH_SPAN
    return -weight / math.log(unit)


def rank(key: str, weights: dict[str, float]) -> list[str]:
    """All members, the one that attracts `key` most first."""
    return sorted(weights, key=lambda name: score(key, name, weights[name]), reverse=True)


def owners(key: str, members: Iterable[str], count: int = 1) -> list[str]:
    """The `count` members responsible for `key`, all of equal weight."""
    ordered = sorted(members, key=lambda name: score(key, name, 1.0), reverse=True)
    return ordered[:count]


class Ranking:
    """Ranks the engines of one service and keeps recent orders at hand.

    The cache only saves time: dropping it changes no order.
    """

    CACHE_SIZE = 4096

    def __init__(self):
        self._weights: dict[str, float] = {}
        self._orders: dict[str, list[str]] = {}

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replace the members; orders are worked out anew if any differ."""
        if weights == self._weights:
            return
        self._weights = dict(weights)
        self._orders.clear()

    def order(self, chat: str) -> list[str]:
        """Engines for `chat`, best first."""
        found = self._orders.get(chat)
        if found is None:
            if len(self._orders) >= self.CACHE_SIZE:
                self._orders.clear()
            found = rank(chat, self._weights)
            self._orders[chat] = found
        return found
