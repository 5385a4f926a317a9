"""Weighted rendezvous hashing: every box ranks engines alike, with no table.

A change of one engine moves only the chats that rank it first.  The score
`-weight / ln(u)` is Thaler and Ravishankar's highest random weight with the
logarithmic weights of Schindelhauer and Schomaker.  `u` mixes the hashes of
chat and engine by the finisher of SplitMix64 (Steele, Lea and Flood), which
numpy computes for many engines at once; few are quicker without it, and both
give the same order.  numpy is loaded only where there are many: it takes as
much memory as the rest of a small box.
"""

import math
from collections.abc import Iterable
from typing import TYPE_CHECKING

from seamhold_messages.hashing import hash64

from .mixing import HASH_SPAN, MASK, MIX_1, MIX_2

if TYPE_CHECKING:
    from .vectors import RankVectors

#: From so many engines on, numpy is quicker.
VECTOR_FROM = 128
#: Ranks that are worked out at first; a call rarely looks further.
FIRST_RANKS = 16
#: Chats whose order is kept at hand.
CACHE_SIZE = 4096


def _mix(value: int) -> int:
    value = ((value ^ (value >> 30)) * MIX_1) & MASK
    value = ((value ^ (value >> 27)) * MIX_2) & MASK
    return value ^ (value >> 31)


def _score(mixed: int, weight: float) -> float:
    return -weight / math.log((mixed + 0.5) / HASH_SPAN)


def rank(key: str, weights: dict[str, float]) -> list[str]:
    """All members, the one that attracts `key` most first."""
    ranking = Ranking()
    ranking.set_weights(weights)
    return ranking.order(key)


def owners(key: str, members: Iterable[str], count: int = 1) -> list[str]:
    """The `count` members responsible for `key`, all of equal weight."""
    return rank(key, dict.fromkeys(members, 1.0))[:count]


class Ranking:
    """Ranks the engines of one service and keeps recent orders at hand.

    The orders kept only save time: dropping them changes nothing.
    """

    def __init__(self):
        self._weights: dict[str, float] = {}
        self._names: list[str] = []
        self._hashes: list[int] = []
        self._vectors: RankVectors | None = None
        self._firsts: dict[str, list[str]] = {}

    def __len__(self) -> int:
        return len(self._names)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replace the members; orders are worked out anew if any differ."""
        if weights == self._weights:
            return
        self._weights = dict(weights)
        # Ties go by name, so that the order of a list changes nothing.
        self._names = sorted(weights)
        self._hashes = [hash64(name) for name in self._names]
        self._vectors = None
        self._firsts.clear()

    def first(self, chat: str) -> list[str]:
        """The first few engines for `chat`, best first."""
        found = self._firsts.get(chat)
        if found is None:
            if len(self._firsts) >= CACHE_SIZE:
                self._firsts.clear()
            found = self._best(chat, FIRST_RANKS)
            self._firsts[chat] = found
        return found

    def order(self, chat: str) -> list[str]:
        """All engines for `chat`, best first."""
        return self._best(chat, len(self._names))

    def _best(self, chat: str, count: int) -> list[str]:
        key = hash64(chat)
        if len(self._names) < VECTOR_FROM:
            scores = [
                _score(_mix(value ^ key), self._weights[name])
                for name, value in zip(self._names, self._hashes, strict=True)
            ]
            places = sorted(range(len(scores)), key=lambda place: -scores[place])
        else:
            places = self._many().places(key, count)
        return [self._names[place] for place in places[:count]]

    def _many(self) -> 'RankVectors':
        if self._vectors is None:
            from .vectors import RankVectors

            weights = [self._weights[name] for name in self._names]
            self._vectors = RankVectors(self._hashes, weights)
        return self._vectors
