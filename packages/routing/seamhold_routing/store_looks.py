"""Decides when a box that does not watch the platform's store reads it, as no watcher seems to.

Watchers are replaced one after the other, each after time limits of its own.  Whatever boxes are
cut from the store, some others therefore read it themselves once there is no fresh proof that it
answered anyone: a few at first, drawn by chance, and twice as many after each step, until one of
them is answered and all hear of that.
"""

import math
import random

from msgspec import Struct

from seamhold_membership import BoxView
from seamhold_settings.schema import Control

from .watchers import WATCH_INTERVAL_SECONDS, gossip_seconds

#: Time for the store to answer a watch that ends, in seconds.
ANSWER_SECONDS = 0.1
#: Number of boxes, on the average, that look at once, and at most for one doubt.
FIRST_LOOKS = 3
LOOKS_MAX = 48
#: After this time twice as many have looked, in seconds: a look and the news of its answer.
STEP_SECONDS = 0.15


class StoreProof(Struct, frozen=True):
    """When the store last answered some box, and a watch of some box was last not answered."""

    answered_at: float | None = None
    unanswered_at: float = -math.inf

    def doubted_at(self, fresh_seconds: float) -> float:
        """Return when the store is, or will be, in doubt if it answers nobody from now on."""
        if self.answered_at is None:
            return math.inf
        if self.unanswered_at > self.answered_at:
            return min(self.unanswered_at, self.answered_at + fresh_seconds)
        return self.answered_at + fresh_seconds


def proof_seconds(boxes: BoxView, control: Control) -> float:
    """Return how old the last proof may be at any box while all is well."""
    return WATCH_INTERVAL_SECONDS + ANSWER_SECONDS + gossip_seconds(boxes, control)


class StoreLooks:
    """Draws the time at which this box looks, for each doubt."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._doubted_at = math.inf
        #: When this box looks unless it hears of an answer before.
        self.due_at = math.inf

    def begins(self, doubted_at: float, boxes: int, now: float) -> bool:
        """Return whether this box, one of `boxes`, is to read the store now, once a doubt."""
        if doubted_at != self._doubted_at:
            self._doubted_at = doubted_at
            self.due_at = doubted_at + self._delay(boxes)
        if now < self.due_at:
            return False
        self.due_at = math.inf
        return True

    def _delay(self, boxes: int) -> float:
        place = self._rng.random() * boxes
        if place >= LOOKS_MAX:
            return math.inf
        return STEP_SECONDS * max(0.0, math.log2(place / FIRST_LOOKS)) if place else 0.0
