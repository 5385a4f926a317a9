"""Follows the store of a platform that keeps the whole settings tree as one object.

The lists and the tree come from the platform's store while it serves this box, and from
other boxes while it does not.
"""

import operator
import random
import time
from collections.abc import Callable

from msgspec import Struct

from seamhold_platform import ObjectKind, PlatformObject, WatchKind
from seamhold_settings import Candidate, OfferResult
from seamhold_settings.repeated_names import join_repeated
from seamhold_settings.tree import TREE_OBJECT

from ..clock import boot_seconds
from ..decider import Decider
from ..decisions import StoreAnswered, WatchUnanswered
from ..follower import Follower
from ..list_follower import ListFollower
from ..logs import LogOnce
from ..metrics import Metrics
from ..ports import ObjectStore
from ..settings_task import OFFER_SECONDS, OfferSettings, SettingsTask

#: Batch time of changes during a box's start, in seconds, and how long the start lasts.
#: When a fleet starts, many changes come together and a box may stop being a watcher
#: within a second: without this, 19 boxes that started together each watched four times.
STARTING_BATCH_SECONDS = 1.0
STARTING_SECONDS = 2.0
#: How long after its start a box with peers waits before its first watch, in seconds.  It
#: learns from their heartbeats whether it is a watcher, and the store's history keeps
#: the changes of that time.  In a fleet of 65 boxes with 99 starts, this wait and not
#: counting a cold engine's remaining time as a change reduced the calls to the store from
#: 1,417 to 1,074.
ROLE_WAIT_SECONDS = 1.0
#: How long a starting box waits for the list of boxes, in seconds.
ALONE_SECONDS = 0.3
RETRY_MAX_SECONDS = 1.0
#: How often followers of a box that does not watch check whether they are to stop, in
#: seconds.  An event wakes them when the box becomes a watcher.
STOP_CHECK_SECONDS = 5.0
#: Servers and settings change in bursts.  A follower waits this long after a change, in
#: seconds, to receive the burst with one call.
BATCH_SECONDS = 0.2
#: Poll interval of a list that is not watched, in seconds, and the shorter interval at the
#: start.  A box polls at the shorter interval for up to ALONE_POLLS polls while it lists no
#: other box, and for STARTING_POLLS polls otherwise.
POLL_SECONDS = 3.0
ALONE_POLL_SECONDS = 0.7
ALONE_POLLS = 20
STARTING_POLLS = 2
#: Names that stand more than once in a configuration and are logged.
LOGGED_NAMES_MAX = 10


class StoreWatch:
    """Tells whether this box should watch the store, and records whether the store answers."""

    def __init__(self, decider: Decider, ready: Callable[[], bool]):
        self._decider = decider
        self._ready = ready
        self._role_known_at = boot_seconds() + ROLE_WAIT_SECONDS

    def should_follow(self) -> bool:
        """Whether this box is a watcher, lacks updates or state, or has lost the store."""
        decider = self._decider
        watches = decider.watches_store or decider.store_lost or bool(decider.lagging)
        return watches or not self._ready()

    @property
    def look(self) -> int:
        """The number of looks at the store so far."""
        return self._decider.store_wanted.look

    def wait_for_turn(self, looked: int) -> None:
        """Wait for a look after `looked`, or until this box should watch; not for long."""
        self._decider.store_wanted.wait(looked, STOP_CHECK_SECONDS)

    def next_watch_seconds(self) -> float:
        """Return how long this box's next watch of a kind may wait for a change."""
        return self._decider.watch_turn.seconds(time.time())

    def wait_for_role(self) -> None:
        """Wait while this box starts and cannot know yet whether it is a watcher."""
        decider = self._decider
        decider.boxes.loaded.wait(ALONE_SECONDS)
        left = self._role_known_at - boot_seconds()
        if left > 0 and len(decider.boxes.items or ()) > 1:
            time.sleep(left)

    def on_lost(self) -> None:
        """Record that a call to the store failed."""
        self._decider.store_lost = True

    def on_unanswered_watch(self) -> None:
        """Record that a watch was not answered; the decider reports it to other boxes."""
        self._decider.send(WatchUnanswered())

    def on_regained(self) -> None:
        """Record that the store answers again."""
        self._decider.store_lost = False
        self.on_answer()

    def on_answer(self, is_fresh: bool = True) -> None:
        """Record that the store answered; the decider reports it to other boxes."""
        self._decider.send(StoreAnswered(is_fresh))


class StoreFollower(Follower):
    """Follows a collection on the boxes that watch the store, and reads it in each look."""

    retry_max_seconds = RETRY_MAX_SECONDS
    batch_seconds = BATCH_SECONDS
    starting_batch_seconds = STARTING_BATCH_SECONDS
    starting_seconds = STARTING_SECONDS
    #: Set by the subclasses.
    _watch: StoreWatch
    #: The number of the last look that this follower took.
    _looked = 0

    def _follow(self) -> None:
        self._looked = self._watch.look
        super()._follow()

    def should_follow(self) -> bool:
        """Whether this box should watch the store, or look at it."""
        return self._watch.should_follow() or self._watch.look != self._looked

    def wait_for_turn(self) -> None:
        """Wait until this box should read the store, or a few seconds have passed."""
        self._watch.wait_for_turn(self._looked)

    def before_watch(self) -> None:
        """Wait until this box knows whether it is a watcher."""
        self._watch.wait_for_role()

    def next_watch_seconds(self) -> float:
        """Return how long this box's next watch may wait for a change."""
        return self._watch.next_watch_seconds()

    def on_answer(self) -> None:
        """Record that the store answered."""
        self._watch.on_answer()

    def on_unanswered_watch(self) -> None:
        """Record that the store did not answer a watch."""
        self._watch.on_unanswered_watch()


class TreeFollower(StoreFollower):
    """Follows the object called `name`, which holds the whole settings tree.

    `read` converts an object to values of the settings schema.  `defaults` are the
    fleet-level values that the platform's configuration does not contain.
    """

    kind = ObjectKind.SETTINGS

    def __init__(
        self,
        store: ObjectStore,
        metrics: Metrics,
        rng: random.Random,
        watch: StoreWatch,
        settings_task: SettingsTask,
        name: str,
        read: Callable[[PlatformObject], dict],
        defaults: dict,
    ):
        super().__init__(store, metrics, rng)
        self._watch = watch
        self._settings_task = settings_task
        self._name = name
        self._foreign = LogOnce(f'follow-{self.kind}', 'settings.foreign')
        self._read = read
        self._defaults = defaults

    def on_unreachable(self) -> None:
        """Record that the store did not answer."""
        self._watch.on_lost()

    def on_list(self, objects: list[PlatformObject]) -> None:
        """Offer the listed tree to the settings task."""
        self._watch.on_regained()
        for item in objects:
            self._offer_tree(item)

    def on_change(self, kind: WatchKind, item: PlatformObject) -> None:
        """Offer the changed tree; a deleted one stays active."""
        if kind is not WatchKind.DELETED:
            self._offer_tree(item)

    def _offer_tree(self, item: PlatformObject) -> None:
        """Offer the tree, and no other object of the collection."""
        if item.name == self._name:
            self._offer(item)
            return
        self.metrics.count('settings.foreign')
        self._foreign.warning(item.name)

    def _offer(self, item: PlatformObject) -> None:
        try:
            values = self._read(item)
            revision = int(item.version)
        except (TypeError, ValueError, KeyError, AttributeError) as error:
            self.metrics.count('settings.unreadable')
            detail = item.unreadable or repr(error)
            self.log.warning('settings.unreadable', version=item.version, detail=detail)
            return
        values = self._joined(values, item.version)
        candidate = Candidate(TREE_OBJECT, revision, item.version, values)
        (result,) = self._settings_task.query(OfferSettings([candidate], 'platform')).result(
            OFFER_SECONDS
        )
        if result is OfferResult.INVALID:
            self.log.error('settings.invalid', version=item.version)

    def _joined(self, values: dict, version: str) -> dict:
        """Return the values with each service and workspace once, and with the defaults."""
        tree = join_repeated(values)
        self.metrics.gauge('settings_names_repeated', len(tree.repeated))
        for place in tree.repeated[:LOGGED_NAMES_MAX]:
            self.log.warning('settings.name_repeated', version=version, place=place)
        return tree.values | {'fleet': self._defaults | tree.values['fleet']}


class ListSource(Struct, frozen=True):
    """Sources of the lists: the store while it serves this box, else other boxes."""

    store: ObjectStore
    metrics: Metrics
    rng: random.Random
    watch: StoreWatch
    request_lists: Callable[[], None]


class VersionedListFollower(StoreFollower, ListFollower):
    """Follows a list whose versions are increasing numbers.

    `deliver` receives the whole list and its version, unless the list is equal to the
    one in use, which `current` returns.  `is_update` compares an item before and after a
    change and returns whether the change has to be delivered.
    """

    def __init__(
        self,
        kind: ObjectKind,
        source: ListSource,
        read: Callable[[PlatformObject], object],
        deliver: Callable[[list, int], None],
        current: Callable[[], list | None],
        is_update: Callable[[object, object], bool] = operator.ne,
    ):
        super().__init__(
            kind, source.store, source.metrics, source.rng, read, self._deliver_if_changed
        )
        self._source = source
        self._watch = source.watch
        self._deliver_list = deliver
        self._current = current
        self._is_update = is_update
        #: Whether an item changed since the list was delivered.
        self._has_update = False

    def on_change(self, kind: WatchKind, item: PlatformObject) -> None:
        """Replace or remove one item; all changes of one watch are delivered together."""
        before = self._items.get(item.name)
        self._apply_change(kind, item)
        self._has_update |= self._is_update(before, self._items.get(item.name))

    def on_batch_end(self) -> None:
        """Deliver the list after a watch, if an item changed."""
        if self._has_update:
            self._has_update = False
            self._deliver_if_changed(list(self._items.values()))

    def _deliver_if_changed(self, items: list) -> None:
        current = self._current()
        if current is None or _by_name(items) != _by_name(current):
            self._deliver_list(items, int(self.version))

    def on_unreachable(self) -> None:
        """Request the lists from other boxes, which may have newer ones."""
        self._source.request_lists()

    def on_unreadable(self) -> None:
        """Request the lists from other boxes, which may be able to read them."""
        self._source.request_lists()


class EvacuationsFollower(VersionedListFollower):
    """Follows the list of evacuations, which is nearly always empty.

    At its start a box reads a list that may be some seconds old, at a tenth of the cost.
    The watching boxes send it a newer list within the time bound of an evacuation.
    """

    _started = False

    def _follow(self) -> None:
        if not self._started:
            self._started = True
            page = self.platform.list(self.kind, stale=True)
            self._record_answer()
            self.version = page.version
            self.on_list(page.objects)
            self.before_watch()
            return
        super()._follow()


class PolledListFollower(VersionedListFollower):
    """Polls a list instead of watching it, for lists that may be some seconds old.

    At the start it reads fresh lists, because the boxes that will share the watches do
    not know each other yet.
    """

    _first_polls = 0

    def should_follow(self) -> bool:
        """Whether this box is one of those that poll; a look is for newer state than this has."""
        self._looked = self._watch.look
        return self._watch.should_follow()

    def on_answer(self) -> None:
        """Record that the store answered, perhaps with an older state."""
        self._watch.on_answer(is_fresh=False)

    def _follow(self) -> None:
        while not self._stopped.is_set() and self.should_follow():
            starting = self._is_starting()
            page = self.platform.list(self.kind, stale=not starting)
            self._record_answer()
            self.version = page.version
            self.on_list(page.objects)
            self._stopped.wait(ALONE_POLL_SECONDS if starting else POLL_SECONDS)

    def _is_starting(self) -> bool:
        """Whether boxes that start at the same time may still be missing in the list.

        A box adds its entry shortly after its start.
        """
        self._first_polls += 1
        if len(self._current() or []) > 1:
            return self._first_polls <= STARTING_POLLS
        return self._first_polls <= ALONE_POLLS


def _by_name(items: list) -> dict:
    return {item.name: item for item in items}
