"""Weighted rendezvous hashing: all boxes rank engines alike without a shared table.

A change of one engine moves only the chats that rank it first. The score `-weight / ln(u)` is
Thaler and Ravishankar's highest random weight with the logarithmic weights of Schindelhauer and
Schomaker. `u` mixes the hashes of chat and engine with the SplitMix64 finalizer (Steele, Lea
and Flood). numpy computes it for many engines at once; for few engines plain Python is faster,
and both give the same order. numpy is imported only when there are many engines, because it
takes as much memory as the rest of a small box.
"""

import math
from collections.abc import Iterable
from typing import TYPE_CHECKING

from seamhold_messages.hashing import hash64

from .mixing import HASH_SPAN, MASK, MIX_1, MIX_2

if TYPE_CHECKING:
    from .vectors import RankVectors

#: Number of engines from which numpy is faster.
VECTOR_MIN_ENGINES = 128
#: Number of ranks that `Ranking.first` computes; a call rarely needs more.
FIRST_RANKS = 16
#: Maximum number of chats whose first ranks are cached.
CACHE_SIZE = 4096


def _mix(value: int) -> int:
    value = ((value ^ (value >> 30)) * MIX_1) & MASK
    value = ((value ^ (value >> 27)) * MIX_2) & MASK
    return value ^ (value >> 31)


def _score(mixed: int, weight: float) -> float:
    return -weight / math.log((mixed + 0.5) / HASH_SPAN)


def rank(key: str, weights: dict[str, float]) -> list[str]:
    """Return all members, the one with the highest score for `key` first."""
    ranking = Ranking()
    ranking.set_weights(weights)
    return ranking.order(key)


def owners(key: str, members: Iterable[str], count: int = 1) -> list[str]:
    """Return the `count` members that are responsible for `key`, all of equal weight."""
    return rank(key, dict.fromkeys(members, 1.0))[:count]


class Ranking:
    """Ranks the engines of one service and caches the first ranks of recent chats."""

    def __init__(self):
        self._weights: dict[str, float] = {}
        self._names: list[str] = []
        self._hashes: list[int] = []
        self._vectors: RankVectors | None = None
        self._first_cache: dict[str, list[str]] = {}

    def __len__(self) -> int:
        return len(self._names)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replace the members; clear the cache if any of them differ."""
        if weights == self._weights:
            return
        self._weights = dict(weights)
        # Sorted by name, so that ties do not depend on the order of a list.
        self._names = sorted(weights)
        self._hashes = [hash64(name) for name in self._names]
        self._vectors = None
        self._first_cache.clear()

    def first(self, chat: str) -> list[str]:
        """Return the first `FIRST_RANKS` engines for `chat`, best first."""
        found = self._first_cache.get(chat)
        if found is None:
            if len(self._first_cache) >= CACHE_SIZE:
                self._first_cache.clear()
            found = self._best(chat, FIRST_RANKS)
            self._first_cache[chat] = found
        return found

    def order(self, chat: str) -> list[str]:
        """Return all engines for `chat`, best first."""
        return self._best(chat, len(self._names))

    def _best(self, chat: str, count: int) -> list[str]:
        key = hash64(chat)
        if len(self._names) < VECTOR_MIN_ENGINES:
            scores = [
                _score(_mix(value ^ key), self._weights[name])
                for name, value in zip(self._names, self._hashes, strict=True)
            ]
            positions = sorted(range(len(scores)), key=lambda position: -scores[position])
        else:
            positions = self._rank_vectors().best_positions(key, count)
        return [self._names[position] for position in positions[:count]]

    def _rank_vectors(self) -> 'RankVectors':
        if self._vectors is None:
            from .vectors import RankVectors

            weights = [self._weights[name] for name in self._names]
            self._vectors = RankVectors(self._hashes, weights)
        return self._vectors
