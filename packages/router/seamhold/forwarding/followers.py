"""Follows a platform that keeps the whole settings tree as one object.

The lists and the tree come from the platform's store while it serves this
box, and from the other boxes while it does not.
"""

import random
from collections.abc import Callable

from seamhold_platform import ObjectKind, PlatformObject, WatchKind
from seamhold_settings import Candidate, Step
from seamhold_settings.tree import TREE_OBJECT, without_unsound_routes

from ..follower import OFFER_SECONDS, Follower, ListFollower
from ..keeper import Offer, SettingsKeeper
from ..metrics import Metrics
from ..ports import ObjectStore

#: Watches are short: a connection that was cut off silently is noticed by
#: nothing else.
WATCH_SECONDS = 4.0
RETRY_MAX_SECONDS = 1.0


class TreeFollower(Follower):
    """Follows the object that holds the whole tree.

    `read` gives an object's values in the product's schema; `defaults` stand
    for what of the fleet's level the platform's operators do not write.
    """

    kind = ObjectKind.SETTINGS
    watch_seconds = WATCH_SECONDS
    retry_max_seconds = RETRY_MAX_SECONDS

    def __init__(
        self,
        store: ObjectStore,
        metrics: Metrics,
        chance: random.Random,
        keeper: SettingsKeeper,
        read: Callable[[PlatformObject], dict],
        defaults: dict,
    ):
        super().__init__(store, metrics, chance)
        self._keeper = keeper
        self._read = read
        self._defaults = defaults

    def listed(self, objects: list[PlatformObject]) -> None:
        """Offer the tree as it stands."""
        for item in objects:
            self._offer(item)

    def changed(self, kind: WatchKind, item: PlatformObject) -> None:
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
        values, problems = without_unsound_routes(values)
        for problem in problems:
            self.log.warning('settings.route_left_out', version=item.version, detail=problem)
        candidate = Candidate(TREE_OBJECT, int(item.version), item.version, values)
        (step,) = self._keeper.ask(Offer([candidate], 'platform')).result(OFFER_SECONDS)
        if step is Step.INVALID:
            self.log.error('settings.invalid', version=item.version)


class VersionedListFollower(ListFollower):
    """Follows a list whose versions are numbers that only grow.

    `deliver` gets the whole list and the number of the state it shows;
    `unreachable` asks the other boxes instead.
    """

    retry_max_seconds = RETRY_MAX_SECONDS

    def __init__(
        self,
        kind: ObjectKind,
        store: ObjectStore,
        metrics: Metrics,
        chance: random.Random,
        read: Callable[[PlatformObject], object],
        deliver: Callable[[list, int], None],
        ask_boxes: Callable[[], None],
        watch_seconds: float = WATCH_SECONDS,
    ):
        super().__init__(kind, store, metrics, chance, read, self._deliver_versioned)
        self.watch_seconds = watch_seconds
        self._deliver_to = deliver
        self._ask_boxes = ask_boxes

    def _deliver_versioned(self, items: list) -> None:
        self._deliver_to(items, int(self.version))

    def unreachable(self) -> None:
        """The platform did not answer this box; others may know more."""
        self._ask_boxes()
