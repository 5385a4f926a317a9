"""Follows what the store keeps of requests that end engines, while boxes are missing."""

import random

from seamhold_placement.rank import owners
from seamhold_platform import ObjectKind, PlatformObject, WatchKind

from .case_store import CaseStore
from .follower import Follower
from .metrics import Metrics
from .peering import ROSTER_SECONDS, Peering
from .ports import ObjectStore

FOLLOWER_KEY = 'cases-follower'


class CasesFollower(Follower):
    """One box of those that hear each other follows for these, which hear of it from it.

    Copies may come every 0.05 s: a box that is cut off has to learn within that of what
    others met, as far as the store tells it.
    """

    kind = ObjectKind.QUARANTINE
    #: Whether boxes are still missing is asked between two watches.
    watch_seconds = 4.0

    def __init__(
        self,
        box: str,
        store: ObjectStore,
        cases: CaseStore,
        peering: Peering,
        metrics: Metrics,
        chance: random.Random,
    ):
        super().__init__(store, metrics, chance)
        self._box = box
        self._cases = cases
        self._peering = peering

    def should_follow(self) -> bool:
        """Whether boxes are missing, and this is the first of those that are not."""
        roster = self._peering.roster
        if not roster.missing_boxes:
            return False
        return owners(FOLLOWER_KEY, roster.heard_boxes) == [self._box]

    def wait_for_turn(self) -> None:
        """Wait until boxes are missing, or, where others follow, until the next look at who is.

        Copies that come before the first list is read run at boxes that know nothing.
        """
        if self._peering.boxes_missing.is_set():
            self._stopped.wait(ROSTER_SECONDS)
        else:
            self._peering.boxes_missing.wait(ROSTER_SECONDS)

    def on_list(self, objects: list[PlatformObject]) -> None:
        """Take over all that is kept."""
        self._cases.take(objects)

    def on_change(self, kind: WatchKind, item: PlatformObject) -> None:
        """Take over what was written."""
        if kind is not WatchKind.DELETED:
            self._cases.take([item])
