"""What tasks that follow the platform have in common.

Each lists a collection, then watches from there; after any failure it waits
a little and starts over.  What was last seen stays in use in an outage.
"""

import random
import threading

from seamhold_messages.errors import PlatformGone, SeamholdError
from seamhold_platform import ObjectKind, PlatformObject, WatchKind
from seamhold_platform.client import WATCH_SECONDS

from .clock import boot_seconds
from .logs import logger
from .metrics import Metrics
from .ports import ObjectStore

RETRY_SECONDS = 0.5
RETRY_MAX_SECONDS = 8.0
NOT_WATCHING_SECONDS = 1.0


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
