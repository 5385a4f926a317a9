"""Rendezvous scores of many members at once, computed with numpy."""

import numpy as np

from .mixing import HASH_SPAN, MIX_1, MIX_2


class RankVectors:
    """The 64-bit hashes of members' names, and their weights, as arrays of shape (members,)."""

    def __init__(self, hashes: list[int], weights: list[float]):
        self._hashes = np.array(hashes, np.uint64)
        self._weights = np.array(weights)

    def best_positions(self, key: int, count: int) -> list[int]:
        """Return the list positions of the `count` best members for `key`, best first."""
        mixed = self._hashes ^ np.uint64(key)
        mixed = (mixed ^ (mixed >> np.uint64(30))) * np.uint64(MIX_1)
        mixed = (mixed ^ (mixed >> np.uint64(27))) * np.uint64(MIX_2)
        mixed ^= mixed >> np.uint64(31)
        units = (mixed.astype(np.float64) + 0.5) / HASH_SPAN
        negative_scores = self._weights / np.log(units)
        if count < len(negative_scores):
            best = np.argpartition(negative_scores, count)[:count]
            return best[np.argsort(negative_scores[best], kind='stable')].tolist()
        return np.argsort(negative_scores, kind='stable').tolist()
