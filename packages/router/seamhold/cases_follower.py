"""Follows the stored cases of requests that end engines, while boxes are missing."""

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
    """Follows the cases for all boxes that reach this one, which then receive them from it.

    Copies of a request may arrive every 0.05 s: a box that is cut off from its peers has to
    learn of their cases within that time, as far as the store has them.
    """

    kind = ObjectKind.QUARANTINE
    #: Between two watches the follower checks whether boxes are still missing.  Nobody else
    #: follows for these boxes, so a watch that is not answered must end soon.
    watch_seconds = 1.0

    def __init__(
        self,
        box: str,
        store: ObjectStore,
        cases: CaseStore,
        peering: Peering,
        metrics: Metrics,
        rng: random.Random,
    ):
        super().__init__(store, metrics, rng)
        self._box = box
        self._cases = cases
        self._peering = peering

    def should_follow(self) -> bool:
        """Whether boxes are missing, and this one ranks first among the others."""
        roster = self._peering.roster
        if not roster.missing_boxes:
            return False
        return owners(FOLLOWER_KEY, roster.responsive_boxes) == [self._box]

    def wait_for_turn(self) -> None:
        """Wait until boxes are missing; if another box follows, until the next roster check.

        Until the first list is read, boxes that lack these cases run copies of the requests.
        """
        if self._peering.boxes_missing.is_set():
            self._stopped.wait(ROSTER_SECONDS)
        else:
            self._peering.boxes_missing.wait(ROSTER_SECONDS)

    def on_list(self, objects: list[PlatformObject]) -> None:
        """Merge all stored cases."""
        self._cases.merge_objects(objects)

    def on_change(self, kind: WatchKind, item: PlatformObject) -> None:
        """Merge a case that was written."""
        if kind is not WatchKind.DELETED:
            self._cases.merge_objects([item])
