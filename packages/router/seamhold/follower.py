"""Tasks that follow the platform: its lists, and the settings.

Each lists a collection, then watches from there; after any failure it waits
a little and starts over.  What was last seen stays in use in an outage.
"""

import random
import threading
from collections.abc import Callable

from seamhold_messages.errors import (
    EntryUnreadable,
    PlatformConflict,
    PlatformGone,
    PlatformUnavailable,
    SeamholdError,
    SettingsInvalid,
)
from seamhold_messages.fleet import Box, Engine, Phase
from seamhold_placement.rank import owners
from seamhold_platform import ObjectKind, PlatformObject, WatchKind
from seamhold_platform.client import WATCH_SECONDS
from seamhold_settings import Step
from seamhold_settings.envelope import Envelope

from .clock import boot_seconds
from .keeper import Offer, SettingsKeeper, WantNewer
from .logs import logger
from .metrics import Metrics
from .ports import ObjectStore

RETRY_SECONDS = 0.5
RETRY_MAX_SECONDS = 8.0
#: Boxes that watch the settings; the others hear from them.
SETTINGS_WATCHERS = 3
WATCHERS_KEY = 'settings-watchers'
NOT_WATCHING_SECONDS = 1.0
OFFER_SECONDS = 5.0
#: A watch of the settings is short: whether a box is one of the watchers is
#: asked between two of them, and few boxes watch.
SETTINGS_WATCH_SECONDS = 4.0
#: Calls at once for an engine whose listing does not say.
DEFAULT_SLOTS = 64
#: Of so many entries that cannot be read the logs tell; the rest are counted.
UNREADABLE_TOLD_MAX = 50


def engine_from(item: PlatformObject) -> Engine:
    """An engine as the platform lists it."""
    spec = item.spec
    return Engine(
        item.name,
        str(spec.get('service', '')),
        str(spec.get('address', '')),
        str(spec.get('failure_domain', '')),
        str(spec.get('incarnation', '')),
        int(spec.get('slots', DEFAULT_SLOTS)),
        float(spec.get('weight', 1.0)),
        Phase(spec.get('phase', Phase.LIVE)),
    )


def box_from(item: PlatformObject) -> Box:
    """A box as the platform lists it."""
    spec = item.spec
    return Box(
        item.name,
        str(spec.get('peer_address', '')),
        str(spec.get('failure_domain', '')),
        '',
        Phase(spec.get('phase', Phase.LIVE)),
    )


class Follower:
    """Follows one collection; subclasses say what is done with it."""

    kind: ObjectKind
    watch_seconds = WATCH_SECONDS
    retry_max_seconds = RETRY_MAX_SECONDS
    #: After a change, so that what changes together comes with one call.
    gather_seconds = 0.0
    #: The same while a box starts, and how long that is.
    starting_gather_seconds = 0.0
    starting_seconds = 0.0

    def __init__(self, platform: ObjectStore, metrics: Metrics, chance: random.Random):
        self.platform = platform
        #: Where the next watch begins.
        self.version = ''
        self.metrics = metrics
        self.log = logger(f'follow-{self.kind}')
        self._chance = chance
        self._lost_at: float | None = None
        self._starting_until = boot_seconds() + self.starting_seconds
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f'follow-{self.kind}', daemon=True)

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop at the next change or time-out; nothing waits for it."""
        self._stopped.set()

    def wanted(self) -> bool:
        """Whether this box is one that follows the collection."""
        return True

    def wait_turn(self) -> None:
        """Wait a while before it is asked again whether this box follows."""
        self._stopped.wait(NOT_WATCHING_SECONDS)

    def listed(self, objects: list[PlatformObject]) -> None:
        """The whole collection was read."""
        raise NotImplementedError

    def changed(self, kind: WatchKind, item: PlatformObject) -> None:
        """One object changed."""
        raise NotImplementedError

    def gathered(self) -> None:
        """All changes that one watch told were given to `changed`."""

    def settle(self) -> None:
        """Called between the list and the first watch from it."""

    def answered(self) -> None:
        """The platform answered a call."""

    def unreachable(self) -> None:
        """The platform did not answer; called after each failure."""

    def _run(self) -> None:
        pause = RETRY_SECONDS
        while not self._stopped.is_set():
            if not self.wanted():
                self.wait_turn()
                continue
            try:
                self._follow()
                pause = RETRY_SECONDS
            except PlatformGone:
                self.metrics.count(f'platform.{self.kind}.gone')
                self._stopped.wait(RETRY_SECONDS * self._chance.uniform(0.2, 1.0))
            except SeamholdError as error:
                if self._stopped.is_set():
                    return
                self.metrics.count(f'platform.{self.kind}.{error.code}')
                self._note_lost(error)
                self.unreachable()
                # Jitter keeps the boxes from coming back all at once.
                self._stopped.wait(pause * self._chance.uniform(0.5, 1.5))
                pause = min(self.retry_max_seconds, pause * 2)
            except Exception:
                self.log.exception('follow.error')
                self._stopped.wait(RETRY_SECONDS)

    def _follow(self) -> None:
        page = self.platform.list(self.kind)
        self._note_regained()
        self.answered()
        self.version = page.version
        self.listed(page.objects)
        self.settle()
        while not self._stopped.is_set() and self.wanted():
            changed = self._watch_once()
            self.answered()
            if changed:
                self._stopped.wait(self._gather())

    def _gather(self) -> float:
        """How long to wait for what changes together, in seconds."""
        if boot_seconds() < self._starting_until:
            return self.starting_gather_seconds
        return self.gather_seconds

    def _watch_once(self) -> bool:
        """Take what changes next; whether anything did."""
        changes = False
        for event in self.platform.watch(self.kind, self.version, self.watch_seconds):
            self.version = event.object.version or self.version
            if event.kind is not WatchKind.BOOKMARK:
                changes = True
                self.changed(event.kind, event.object)
        if changes:
            self.gathered()
        return changes

    def _note_lost(self, error: SeamholdError) -> None:
        """One line for each outage, not for each failure in it."""
        if self._lost_at is None:
            self._lost_at = boot_seconds()
            self.log.warning('platform.lost', code=error.code, detail=error.detail)

    def _note_regained(self) -> None:
        if self._lost_at is not None:
            lasted = round(boot_seconds() - self._lost_at, 3)
            self._lost_at = None
            self.log.info('platform.regained', seconds=lasted)


class ListFollower(Follower):
    """Follows a list and hands it on whole after each change."""

    def __init__(
        self,
        kind: ObjectKind,
        platform: ObjectStore,
        metrics: Metrics,
        chance: random.Random,
        read: Callable[[PlatformObject], object],
        deliver: Callable[[list], None],
    ):
        self.kind = kind
        super().__init__(platform, metrics, chance)
        self._read = read
        self._deliver = deliver
        self._items: dict[str, object] = {}
        #: What was told of entries that cannot be read, by name.
        self._unreadable: dict[str, str] = {}

    def listed(self, objects: list[PlatformObject]) -> None:
        """Replace all items."""
        self._items = {}
        for item in objects:
            self._put(item)
        self._deliver(list(self._items.values()))

    def changed(self, kind: WatchKind, item: PlatformObject) -> None:
        """Replace or drop one item."""
        self._note(kind, item)
        self._deliver(list(self._items.values()))

    def _note(self, kind: WatchKind, item: PlatformObject) -> None:
        if kind is WatchKind.DELETED:
            self._items.pop(item.name, None)
        else:
            self._put(item)

    def _put(self, item: PlatformObject) -> None:
        try:
            self._items[item.name] = self._read(item)
            self._unreadable.pop(item.name, None)
        except EntryUnreadable as error:
            self._leave_out(item, error)
        except (AttributeError, TypeError, ValueError) as error:
            self._leave_out(item, EntryUnreadable(repr(error)))

    def _leave_out(self, item: PlatformObject, error: EntryUnreadable) -> None:
        """It names nothing that could be used, whatever stood there before."""
        self._items.pop(item.name, None)
        self._note_unreadable(item, error)

    def _note_unreadable(self, item: PlatformObject, error: EntryUnreadable) -> None:
        """Count it; told once for each cause, and of so many entries at most."""
        self.metrics.count(f'{error.code}.{self.kind}')
        if self._unreadable.get(item.name) == error.detail:
            return
        if len(self._unreadable) < UNREADABLE_TOLD_MAX or item.name in self._unreadable:
            self._unreadable[item.name] = error.detail
            self.log.warning(
                'list.unreadable', object=item.name, code=error.code, detail=error.detail
            )


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
            if step in (Step.TAKEN, Step.SAME):
                self._envelopes[envelope.name] = envelope
            elif step in (Step.OLDER, Step.BRANCH):
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
            mended = held.followed_by(envelope.edits[-1], envelope.value, envelope.deleted)
        self.metrics.count('settings.mended')
        self.log.warning('settings.mend', object=name, revision=mended.revision)
        try:
            self.platform.put(self.kind, PlatformObject(name, mended.to_spec(), found.version))
        except (PlatformConflict, PlatformUnavailable) as error:
            # Another watcher was first, or the next look tells.
            self.log.warning('settings.mend_failed', object=name, code=error.code)
