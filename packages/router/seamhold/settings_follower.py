"""Follows the settings on the few boxes that watch them, and repairs a platform rollback."""

import random
import time
from collections.abc import Callable

from seamhold_messages.errors import PlatformConflict, PlatformUnavailable, SettingsInvalid
from seamhold_placement.rank import owners
from seamhold_platform import ObjectKind, PlatformObject, WatchKind
from seamhold_routing import WatchTurn
from seamhold_settings import OfferResult
from seamhold_settings.envelope import Envelope

from .follower import Follower
from .metrics import Metrics
from .ports import ObjectStore
from .settings_task import OFFER_SECONDS, GetNewerSettings, OfferSettings, SettingsTask

#: Boxes that watch the settings; the others get changes from them.
SETTINGS_WATCHERS = 3
WATCHERS_KEY = 'settings-watchers'


class SettingsFollower(Follower):
    """Follows the settings on the few boxes that watch them.

    When the platform shows an older version than the one in force, because it was
    restored from a backup, the follower writes the version in force back.  An edit that
    was made on the older version is applied again on top of it.
    """

    kind = ObjectKind.SETTINGS

    def __init__(
        self,
        platform: ObjectStore,
        metrics: Metrics,
        rng: random.Random,
        settings_task: SettingsTask,
        box: str,
        live_boxes: Callable[[], tuple[str, ...]],
        lagging: Callable[[], bool] = lambda: False,
    ):
        super().__init__(platform, metrics, rng)
        self._settings_task = settings_task
        self._box = box
        self._live_boxes = live_boxes
        self._lagging = lagging
        self._envelopes: dict[str, Envelope] = {}

    def should_follow(self) -> bool:
        """Whether this box ranks among the watchers, or lacks the settings or updates of them."""
        if not self._settings_task.ready.is_set() or self._lagging():
            return True
        return self._box in self._watchers()

    def next_watch_seconds(self) -> float:
        """Return how long the next watch may wait; the watchers take turns."""
        watchers = self._watchers()
        turn = WatchTurn()
        if self._box in watchers:
            turn = WatchTurn(watchers.index(self._box), len(watchers))
        return turn.seconds(time.time())

    def _watchers(self) -> list[str]:
        return owners(WATCHERS_KEY, self._live_boxes(), SETTINGS_WATCHERS)

    def on_list(self, objects: list[PlatformObject]) -> None:
        """Offer all objects, including changes made while no box watched."""
        self._offer(objects)

    def on_change(self, kind: WatchKind, item: PlatformObject) -> None:
        """Offer one object; raw deletes are ignored, because removals are written as edits."""
        if kind is not WatchKind.DELETED:
            self._offer([item])

    def _offer(self, objects: list[PlatformObject]) -> None:
        envelopes = list(filter(None, map(self._read, objects)))
        offer = OfferSettings([envelope.candidate() for envelope in envelopes], 'platform')
        results = self._settings_task.query(offer).result(OFFER_SECONDS)
        for envelope, result in zip(envelopes, results, strict=True):
            if result in (OfferResult.TAKEN, OfferResult.SAME):
                self._envelopes[envelope.name] = envelope
            elif result in (OfferResult.OLDER, OfferResult.BRANCH):
                self._repair(envelope.name)

    def _in_force(self, name: str) -> Envelope:
        """Return the version in force, also when this box got it from a peer."""
        active = self._settings_task.query(GetNewerSettings({})).result(OFFER_SECONDS)
        candidate = next(item for item in active if item.name == name)
        seen = self._envelopes.get(name)
        if seen is not None and seen.edits[-1].id == candidate.edit_id:
            return seen
        return Envelope.from_candidate(candidate)

    def _read(self, item: PlatformObject) -> Envelope | None:
        try:
            return Envelope.from_spec(item.name, item.spec)
        except SettingsInvalid as error:
            self.metrics.count('settings.unreadable')
            self.log.warning('settings.unreadable', object=item.name, detail=error.detail)
            return None

    def _repair(self, name: str) -> None:
        """Read the object again, and write the version that must be in force on top of it."""
        stored = self.platform.get(self.kind, name)
        envelope = self._read(stored)
        in_force = self._in_force(name)
        if envelope is None or envelope.revision > in_force.revision:
            return
        edit_ids = {edit.id for edit in in_force.edits}
        if (
            envelope.edits[-1].id == in_force.edits[-1].id
            and envelope.revision == in_force.revision
        ):
            return
        if envelope.edits[-1].id in edit_ids:
            repaired = in_force
        else:
            repaired = in_force.next_version(envelope.edits[-1], envelope.value, envelope.deleted)
        self.metrics.count('settings.mended')
        self.log.warning('settings.mend', object=name, revision=repaired.revision)
        try:
            self.platform.put(self.kind, PlatformObject(name, repaired.to_spec(), stored.version))
        except (PlatformConflict, PlatformUnavailable) as error:
            # Another watcher wrote first, or the next watch shows the version again.
            self.log.warning('settings.mend_failed', object=name, code=error.code)
