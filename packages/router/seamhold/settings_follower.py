"""Follows the settings on the few boxes that watch them, and mends a platform that went back."""

import random
from collections.abc import Callable

from seamhold_messages.errors import PlatformConflict, PlatformUnavailable, SettingsInvalid
from seamhold_placement.rank import owners
from seamhold_platform import ObjectKind, PlatformObject, WatchKind
from seamhold_settings import OfferResult
from seamhold_settings.envelope import Envelope

from .follower import Follower
from .keeper import OFFER_SECONDS, Offer, SettingsKeeper, WantNewer
from .metrics import Metrics
from .ports import ObjectStore

#: Boxes that watch the settings; the others hear from them.
SETTINGS_WATCHERS = 3
WATCHERS_KEY = 'settings-watchers'
#: A watch of the settings is short: whether a box is one of the watchers is
#: asked between two of them, and few boxes watch.
SETTINGS_WATCH_SECONDS = 4.0


class SettingsFollower(Follower):
    """Follows the settings on the few boxes that watch them.

    It also mends: when the platform shows an older version than is in force
    (it was restored from a copy), the version in force is written back; an
    edit made on the older copy is written again on top of it.
    """

    kind = ObjectKind.SETTINGS
    watch_seconds = SETTINGS_WATCH_SECONDS

    def __init__(
        self,
        platform: ObjectStore,
        metrics: Metrics,
        chance: random.Random,
        keeper: SettingsKeeper,
        box: str,
        live_boxes: Callable[[], tuple[str, ...]],
    ):
        super().__init__(platform, metrics, chance)
        self._keeper = keeper
        self._box = box
        self._live_boxes = live_boxes
        self._envelopes: dict[str, Envelope] = {}

    def wanted(self) -> bool:
        """The boxes that rank first for it watch; so does one with nothing."""
        if not self._keeper.ready.is_set():
            return True
        return self._box in owners(WATCHERS_KEY, self._live_boxes(), SETTINGS_WATCHERS)

    def listed(self, objects: list[PlatformObject]) -> None:
        """Offer everything; also what came while nobody watched."""
        self._offer(objects)

    def changed(self, kind: WatchKind, item: PlatformObject) -> None:
        """Offer one object; a raw delete is not how objects are removed."""
        if kind is not WatchKind.DELETED:
            self._offer([item])

    def _offer(self, objects: list[PlatformObject]) -> None:
        envelopes = list(filter(None, map(self._read, objects)))
        offer = Offer([envelope.candidate() for envelope in envelopes], 'platform')
        steps = self._keeper.ask(offer).result(OFFER_SECONDS)
        for envelope, step in zip(envelopes, steps, strict=True):
            if step in (OfferResult.TAKEN, OfferResult.SAME):
                self._envelopes[envelope.name] = envelope
            elif step in (OfferResult.OLDER, OfferResult.BRANCH):
                self._mend(envelope.name)

    def _in_force(self, name: str) -> Envelope:
        """The version in force, also when this box has it from a peer."""
        others = self._keeper.ask(WantNewer({})).result(OFFER_SECONDS)
        candidate = next(item for item in others if item.name == name)
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

    def _mend(self, name: str) -> None:
        """Look again, and write what must be in force on top of it."""
        found = self.platform.get(self.kind, name)
        envelope = self._read(found)
        held = self._in_force(name)
        if envelope is None or envelope.revision > held.revision:
            return
        known = {edit.id for edit in held.edits}
        if envelope.edits[-1].id == held.edits[-1].id and envelope.revision == held.revision:
            return
        if envelope.edits[-1].id in known:
            mended = held
        else:
            mended = held.next_version(envelope.edits[-1], envelope.value, envelope.deleted)
        self.metrics.count('settings.mended')
        self.log.warning('settings.mend', object=name, revision=mended.revision)
        try:
            self.platform.put(self.kind, PlatformObject(name, mended.to_spec(), found.version))
        except (PlatformConflict, PlatformUnavailable) as error:
            # Another watcher was first, or the next look tells.
            self.log.warning('settings.mend_failed', object=name, code=error.code)
