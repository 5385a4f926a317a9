"""The base class of the tasks that follow the platform.

Each lists a collection and then watches it from that version; after any failure it
waits and starts over.  In an outage the last state that was read stays in use.
"""

import random
import threading

from seamhold_messages.errors import (
    PlatformGone,
    PlatformThrottled,
    PlatformUnavailable,
    PlatformUnreadable,
    SeamholdError,
)
from seamhold_platform import ObjectKind, PlatformObject, WatchKind
from seamhold_platform.client import WATCH_SECONDS

from .clock import boot_seconds
from .logs import logger
from .metrics import Metrics
from .ports import ObjectStore

RETRY_SECONDS = 0.5
RETRY_MAX_SECONDS = 8.0
RECHECK_SECONDS = 1.0


class Follower:
    """Follows one collection; subclasses handle its objects."""

    kind: ObjectKind
    watch_seconds = WATCH_SECONDS
    retry_max_seconds = RETRY_MAX_SECONDS
    #: Pause after a change, so that one call returns changes that come in a burst.
    batch_seconds = 0.0
    #: The same pause in the first `starting_seconds` after a box has started.
    starting_batch_seconds = 0.0
    starting_seconds = 0.0

    def __init__(self, platform: ObjectStore, metrics: Metrics, rng: random.Random):
        self.platform = platform
        #: The version from which the next watch continues.
        self.version = ''
        self.metrics = metrics
        self.log = logger(f'follow-{self.kind}')
        self._rng = rng
        self._lost_at: float | None = None
        self._unreadable_at: float | None = None
        #: When the platform last answered a call of this follower, on the box's clock.
        self._answered_at: float | None = None
        self._starting_until = boot_seconds() + self.starting_seconds
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f'follow-{self.kind}', daemon=True)

    def start(self) -> None:
        """Start the thread that follows the collection."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to stop at the next change or timeout, without waiting for it."""
        self._stopped.set()

    def confirmed_age(self) -> float | None:
        """Return the seconds since the collection's state was last confirmed by an answer.

        None if this box does not follow it now, or never had an answer.
        """
        if self._answered_at is None or not self.should_follow():
            return None
        return boot_seconds() - self._answered_at

    def should_follow(self) -> bool:
        """Whether this box follows the collection now."""
        return True

    def wait_for_turn(self) -> None:
        """Wait before checking again whether this box follows the collection."""
        self._stopped.wait(RECHECK_SECONDS)

    def on_list(self, objects: list[PlatformObject]) -> None:
        """Handle the whole collection, after it was listed."""
        raise NotImplementedError

    def on_change(self, kind: WatchKind, item: PlatformObject) -> None:
        """Handle the change of one object."""
        raise NotImplementedError

    def on_batch_end(self) -> None:
        """Called after `on_change` has received all changes of one watch."""

    def next_watch_seconds(self) -> float:
        """Return how long the next watch may wait for a change."""
        return self.watch_seconds

    def before_watch(self) -> None:
        """Called between the list and the first watch from it."""

    def on_answer(self) -> None:
        """Called after each call that the platform answered."""

    def on_unanswered_watch(self) -> None:
        """Called after each watch that the platform did not answer in time."""

    def on_unreachable(self) -> None:
        """Called after each call that the platform did not answer."""

    def on_unreadable(self) -> None:
        """Called after each answer that cannot be read; the platform itself is reachable."""

    def _run(self) -> None:
        pause = RETRY_SECONDS
        while not self._stopped.is_set():
            if not self.should_follow():
                self.wait_for_turn()
                continue
            try:
                self._follow()
                pause = RETRY_SECONDS
            except PlatformGone:
                self.metrics.count(f'platform.{self.kind}.gone')
                self._stopped.wait(RETRY_SECONDS * self._rng.uniform(0.2, 1.0))
            except SeamholdError as error:
                if self._stopped.is_set():
                    return
                self._handle_failure(error)
                # Jitter keeps the boxes from all reconnecting at once.
                self._stopped.wait(pause * self._rng.uniform(0.5, 1.5))
                pause = min(self.retry_max_seconds, pause * 2)
            except Exception:
                self.log.exception('follow.error')
                self._stopped.wait(RETRY_SECONDS)

    def _handle_failure(self, error: SeamholdError) -> None:
        self.metrics.count(f'platform.{self.kind}.{error.code}')
        if isinstance(error, PlatformUnreadable):
            self._record_unreadable_answer(error)
            self.on_unreadable()
        else:
            self._record_lost(error)
            self.on_unreachable()

    def _follow(self) -> None:
        """List and watch until this box stops following or a watch is not answered."""
        page = self.platform.list(self.kind)
        self._record_answer()
        self.version = page.version
        self.on_list(page.objects)
        self.before_watch()
        while not self._stopped.is_set() and self.should_follow():
            try:
                changed = self._watch_once(self.next_watch_seconds())
            except (PlatformThrottled, PlatformUnreadable):
                raise
            except PlatformUnavailable as error:
                # Only this connection may be silent: the next list shows whether the store is.
                self._record_unanswered(error)
                return
            self._record_answer()
            if changed:
                self._stopped.wait(self._batch_pause())

    def _batch_pause(self) -> float:
        """Return how many seconds to wait for more changes of a burst."""
        if boot_seconds() < self._starting_until:
            return self.starting_batch_seconds
        return self.batch_seconds

    def _watch_once(self, seconds: float) -> bool:
        """Run one watch and handle its changes; whether there were any."""
        changes = False
        for event in self.platform.watch(self.kind, self.version, seconds):
            self.version = event.object.version or self.version
            if event.kind is not WatchKind.BOOKMARK:
                changes = True
                self.on_change(event.kind, event.object)
        if changes:
            self.on_batch_end()
        return changes

    def _record_unanswered(self, error: SeamholdError) -> None:
        if self._stopped.is_set():
            return
        self.metrics.count(f'platform.{self.kind}.watch_unanswered')
        self.log.warning(
            'watch.unanswered',
            code=error.code,
            detail=error.detail,
            confirmed=self._rounded_age(),
        )
        self.on_unanswered_watch()

    def _rounded_age(self) -> float | None:
        age = self.confirmed_age()
        return None if age is None else round(age, 3)

    def _record_lost(self, error: SeamholdError) -> None:
        """Log an outage once, not at each failure in it."""
        if self._lost_at is None:
            self._lost_at = boot_seconds()
            self.log.warning(
                'platform.lost',
                code=error.code,
                detail=error.detail,
                confirmed=self._rounded_age(),
            )

    def _record_unreadable_answer(self, error: SeamholdError) -> None:
        """Log the first of a series of answers that cannot be read."""
        if self._unreadable_at is None:
            self._unreadable_at = boot_seconds()
            self.log.error(
                'platform.unreadable', detail=error.detail, confirmed=self._rounded_age()
            )

    def _record_answer(self) -> None:
        self._answered_at = boot_seconds()
        self._record_regained()
        self.on_answer()

    def _record_regained(self) -> None:
        if self._unreadable_at is not None:
            lasted = round(boot_seconds() - self._unreadable_at, 3)
            self._unreadable_at = None
            self.log.info('platform.readable', seconds=lasted)
        if self._lost_at is not None:
            lasted = round(boot_seconds() - self._lost_at, 3)
            self._lost_at = None
            self.log.info('platform.regained', seconds=lasted)
