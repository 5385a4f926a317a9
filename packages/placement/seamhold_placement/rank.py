"""Weighted rendezvous hashing: every box ranks engines alike, with no table.

A change of one engine moves only the chats that rank it first.  The score
`-weight / ln(u)` is Thaler and Ravishankar's highest random weight with the
logarithmic weights of Schindelhauer and Schomaker.  `u` mixes the hashes of
chat and engine by the finisher of SplitMix64 (Steele, Lea and Flood), which
numpy computes for many engines at once; few are quicker without it, and both
give the same order.
"""

import math
from collections.abc import Iterable

import numpy as np

from seamhold_messages.hashing import hash64

HASH_SPAN = float(2**64)
MASK = 2**64 - 1
MIX_1 = 0xBF58476D1CE4E5B9
MIX_2 = 0x94D049BB133111EB
#: From so many engines on, numpy is quicker.
VECTOR_FROM = 48
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
        self._vector = np.empty(0, np.uint64)
        self._vector_weights = np.empty(0)
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
        self._vector = np.array(self._hashes, np.uint64)
        self._vector_weights = np.array([weights[name] for name in self._names])
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
            places = self._vector_places(key, count)
        return [self._names[place] for place in places[:count]]

    def _vector_places(self, key: int, count: int) -> list[int]:
        mixed = self._vector ^ np.uint64(key)
        mixed = (mixed ^ (mixed >> np.uint64(30))) * np.uint64(MIX_1)
        mixed = (mixed ^ (mixed >> np.uint64(27))) * np.uint64(MIX_2)
        mixed ^= mixed >> np.uint64(31)
        units = (mixed.astype(np.float64) + 0.5) / HASH_SPAN
        negative = self._vector_weights / np.log(units)
        if count < len(negative):
            best = np.argpartition(negative, count)[:count]
            return best[np.argsort(negative[best], kind='stable')].tolist()
        return np.argsort(negative, kind='stable').tolist()
