"""Follows a platform that keeps the whole settings tree as one object.

The lists and the tree come from the platform's store while it serves this
box, and from the other boxes while it does not.
"""

import operator
import random
import time
from collections.abc import Callable

from msgspec import Struct

from seamhold_platform import ObjectKind, PlatformObject, WatchKind
from seamhold_settings import Candidate, OfferResult
from seamhold_settings.tree import TREE_OBJECT, without_invalid_routes

from ..clock import boot_seconds
from ..decider import Decider
from ..decisions import StoreAnswered
from ..follower import Follower
from ..list_follower import ListFollower
from ..metrics import Metrics
from ..ports import ObjectStore
from ..settings_task import OFFER_SECONDS, OfferSettings, SettingsTask

#: How long the store may hold a watch, in seconds.  The connection is probed
#: meanwhile; what changed before stays in the store's history for 20 s.
WATCH_SECONDS = 8.0
#: A change that a box sees as it starts is one of many where a fleet starts, and its
#: turn to watch may be over a second later: 19 boxes that started together watched
#: four times each.  In seconds, and for so many seconds.
STARTING_GATHER_SECONDS = 1.0
STARTING_SECONDS = 2.0
#: A box that starts beside others learns whether it is its turn to watch by their
#: heartbeats; until then, in seconds, it does not begin.  What changes meanwhile is in
#: the store's history.  With it, and since cold engines' clocks are no news, a day of 65
#: boxes and 99 starts made 1,074 calls to the store, 1,417 before (one run each).
ROLE_SECONDS = 1.0
#: How long a box that starts waits to see whether there are others, in seconds.
ALONE_SECONDS = 0.3
RETRY_MAX_SECONDS = 1.0
#: A box that does not watch is told when its turn comes; so often its tasks look
#: whether they are to stop, in seconds.
STOP_LOOK_SECONDS = 5.0
#: Servers and settings change in bursts: one call brings what came together.
GATHER_SECONDS = 0.2
#: How often a list that is not watched is read, in seconds; more often at the start,
#: the second time at least and for a while until it names others.
POLL_SECONDS = 3.0
ALONE_POLL_SECONDS = 0.7
ALONE_POLLS = 20
STARTING_POLLS = 2


class StoreWatch:
    """Whether this box watches the store, and whether the store serves it."""

    def __init__(self, decider: Decider, ready: Callable[[], bool]):
        self._decider = decider
        self._ready = ready
        self._role_known_at = boot_seconds() + ROLE_SECONDS

    def should_follow(self) -> bool:
        """A watcher watches; so does a box that lacks something, or lost the store."""
        decider = self._decider
        return decider.watches_store or decider.store_lost or not self._ready()

    def wait_for_turn(self) -> None:
        """Wait until it is this box's turn, or for a while."""
        self._decider.store_wanted.wait(STOP_LOOK_SECONDS)

    def wait_role(self) -> None:
        """Wait while this box starts and cannot know yet whose turn it is."""
        decider = self._decider
        decider.boxes.loaded.wait(ALONE_SECONDS)
        left = self._role_known_at - boot_seconds()
        if left > 0 and len(decider.boxes.items or ()) > 1:
            time.sleep(left)

    def lost(self) -> None:
        """A call to the store failed."""
        self._decider.store_lost = True

    def regained(self) -> None:
        """The store answered."""
        self._decider.store_lost = False
        self.on_answer()

    def on_answer(self) -> None:
        """The store answered a call: other boxes hear of it."""
        self._decider.send(StoreAnswered())


class TreeFollower(Follower):
    """Follows the object that holds the whole tree.

    `read` gives an object's values in the product's schema; `defaults` stand
    for what of the fleet's level the platform's operators do not write.
    """

    kind = ObjectKind.SETTINGS
    watch_seconds = WATCH_SECONDS
    retry_max_seconds = RETRY_MAX_SECONDS
    batch_seconds = GATHER_SECONDS
    starting_batch_seconds = STARTING_GATHER_SECONDS
    starting_seconds = STARTING_SECONDS

    def __init__(
        self,
        store: ObjectStore,
        metrics: Metrics,
        chance: random.Random,
        watch: StoreWatch,
        settings_task: SettingsTask,
        read: Callable[[PlatformObject], dict],
        defaults: dict,
    ):
        super().__init__(store, metrics, chance)
        self._watch = watch
        self._settings_task = settings_task
        self._read = read
        self._defaults = defaults

    def should_follow(self) -> bool:
        """Whether it is this box's turn."""
        return self._watch.should_follow()

    def wait_for_turn(self) -> None:
        """Wait until it is this box's turn, or for a while."""
        self._watch.wait_for_turn()

    def before_watch(self) -> None:
        """Wait until it is known whose turn it is."""
        self._watch.wait_role()

    def on_answer(self) -> None:
        """The store serves this box."""
        self._watch.on_answer()

    def on_unreachable(self) -> None:
        """The store does not serve this box."""
        self._watch.lost()

    def on_list(self, objects: list[PlatformObject]) -> None:
        """Offer the tree as it stands."""
        self._watch.regained()
        for item in objects:
            self._offer(item)

    def on_change(self, kind: WatchKind, item: PlatformObject) -> None:
        """Offer the tree as it stands now; one that is removed stays in force."""
        if kind is not WatchKind.DELETED:
            self._offer(item)

    def _offer(self, item: PlatformObject) -> None:
        try:
            values = self._read(item)
        except (TypeError, ValueError, KeyError, AttributeError) as error:
            self.metrics.count('settings.unreadable')
            self.log.warning('settings.unreadable', version=item.version, detail=repr(error))
            return
        values['fleet'] = self._defaults | values.get('fleet', {})
        values, problems = without_invalid_routes(values)
        for problem in problems:
            self.log.warning('settings.route_left_out', version=item.version, detail=problem)
        candidate = Candidate(TREE_OBJECT, int(item.version), item.version, values)
        (step,) = self._settings_task.query(OfferSettings([candidate], 'platform')).result(
            OFFER_SECONDS
        )
        if step is OfferResult.INVALID:
            self.log.error('settings.invalid', version=item.version)


class ListSource(Struct, frozen=True):
    """Where lists come from: the store while it serves this box, else other boxes."""

    store: ObjectStore
    metrics: Metrics
    chance: random.Random
    watch: StoreWatch
    ask_boxes: Callable[[], None]


class VersionedListFollower(ListFollower):
    """Follows a list whose versions are numbers that only grow.

    `deliver` gets the whole list and the number of the state it shows, unless
    it is what this box has in use, which `known` gives.
    """

    watch_seconds = WATCH_SECONDS
    retry_max_seconds = RETRY_MAX_SECONDS
    batch_seconds = GATHER_SECONDS
    starting_batch_seconds = STARTING_GATHER_SECONDS
    starting_seconds = STARTING_SECONDS

    def __init__(
        self,
        kind: ObjectKind,
        source: ListSource,
        read: Callable[[PlatformObject], object],
        deliver: Callable[[list, int], None],
        known: Callable[[], list | None],
        is_news: Callable[[object, object], bool] = operator.ne,
    ):
        super().__init__(
            kind, source.store, source.metrics, source.chance, read, self._deliver_versioned
        )
        self._source = source
        self._deliver_to = deliver
        self._known = known
        self._is_news = is_news
        #: Whether what was watched changed since the list was handed on.
        self._has_news = False

    def should_follow(self) -> bool:
        """Whether it is this box's turn."""
        return self._source.watch.should_follow()

    def wait_for_turn(self) -> None:
        """Wait until it is this box's turn, or for a while."""
        self._source.watch.wait_for_turn()

    def before_watch(self) -> None:
        """Wait until it is known whose turn it is."""
        self._source.watch.wait_role()

    def on_change(self, kind: WatchKind, item: PlatformObject) -> None:
        """Replace or drop one item; what one watch tells is one version of the list."""
        before = self._items.get(item.name)
        self._apply_change(kind, item)
        self._has_news |= self._is_news(before, self._items.get(item.name))

    def on_batch_end(self) -> None:
        """Hand the list on as the watch left it, if that tells anything."""
        if self._has_news:
            self._has_news = False
            self._deliver_versioned(list(self._items.values()))

    def _deliver_versioned(self, items: list) -> None:
        known = self._known()
        if known is None or _by_name(items) != _by_name(known):
            self._deliver_to(items, int(self.version))

    def on_answer(self) -> None:
        """The store serves this box."""
        self._source.watch.on_answer()

    def on_unreachable(self) -> None:
        """The platform did not answer this box; others may know more."""
        self._source.ask_boxes()


class EvacuationsFollower(VersionedListFollower):
    """Follows the evacuations, which nearly always are none.

    A box that starts takes a list that may be some seconds old, for a tenth of the
    price: the boxes that watch tell it of a newer one before it is bound by that.
    """

    _started = False

    def _follow(self) -> None:
        if not self._started:
            self._started = True
            page = self.platform.list(self.kind, stale=True)
            self._record_regained()
            self.on_answer()
            self.version = page.version
            self.on_list(page.objects)
            self.before_watch()
            return
        super()._follow()


class PolledListFollower(VersionedListFollower):
    """Reads a list now and then instead of watching it, where age does no harm.

    It does at the start, when the boxes that will share the watches do not
    know each other yet.
    """

    _first_polls = 0

    def _follow(self) -> None:
        while not self._stopped.is_set() and self.should_follow():
            starting = self._is_starting()
            page = self.platform.list(self.kind, stale=not starting)
            self._record_regained()
            self.on_answer()
            self.version = page.version
            self.on_list(page.objects)
            self._stopped.wait(ALONE_POLL_SECONDS if starting else POLL_SECONDS)

    def _is_starting(self) -> bool:
        """Whether boxes that start beside this one may be missing here.

        They write themselves into the list within a moment.
        """
        self._first_polls += 1
        if len(self._known() or []) > 1:
            return self._first_polls <= STARTING_POLLS
        return self._first_polls <= ALONE_POLLS


def _by_name(items: list) -> dict:
    return {item.name: item for item in items}
