"""Follows one of the platform's lists, whose entries are in the product's own protocol."""

import math
import random
from collections.abc import Callable

from seamhold_messages.errors import EntryUnreadable, EntryUnsound
from seamhold_messages.fleet import Box, Engine, Phase
from seamhold_messages.names import check_identifier, check_labels
from seamhold_platform import ObjectKind, PlatformObject, WatchKind

from .follower import Follower
from .metrics import Metrics
from .ports import ObjectStore

#: Concurrent calls of an engine whose entry does not state its slots.
DEFAULT_SLOTS = 64
#: Higher than any engine's slots, so that an invalid entry has a limited effect on sums.
SLOTS_MAX = 100_000
#: Unreadable entries that are logged by name; further ones are only counted.
UNREADABLE_LOGGED_MAX = 50


def engine_from(item: PlatformObject) -> Engine:
    """Build an Engine from its entry in the platform's list; raises EntryUnreadable."""
    spec = item.spec
    engine = Engine(
        item.name,
        str(spec.get('service', '')),
        str(spec.get('address', '')),
        str(spec.get('failure_domain', '')),
        str(spec.get('incarnation', '')),
        int(spec.get('slots', DEFAULT_SLOTS)),
        float(spec.get('weight', 1.0)),
        Phase(spec.get('phase', Phase.LIVE)),
    )
    check_identifier(engine.name)
    if engine.incarnation:
        check_identifier(engine.incarnation)
    check_labels(*filter(None, (engine.service, engine.address, engine.failure_domain)))
    if not 0 <= engine.slots <= SLOTS_MAX or not 0 <= engine.weight < math.inf:
        raise EntryUnsound(f'invalid slots {engine.slots} or weight {engine.weight}')
    return engine


def box_from(item: PlatformObject) -> Box:
    """Build a Box from its entry in the platform's list; raises EntryUnreadable."""
    spec = item.spec
    box = Box(
        item.name,
        str(spec.get('peer_address', '')),
        str(spec.get('failure_domain', '')),
        '',
        Phase(spec.get('phase', Phase.LIVE)),
    )
    check_identifier(box.name)
    check_labels(*filter(None, (box.peer_address, box.failure_domain)))
    return box


class ListFollower(Follower):
    """Follows a list, and passes the whole list to `deliver` after each change."""

    def __init__(
        self,
        kind: ObjectKind,
        platform: ObjectStore,
        metrics: Metrics,
        rng: random.Random,
        read: Callable[[PlatformObject], object],
        deliver: Callable[[list], None],
    ):
        self.kind = kind
        super().__init__(platform, metrics, rng)
        self._read = read
        self._deliver = deliver
        self._items: dict[str, object] = {}
        #: The error last logged of each unreadable entry, by name.
        self._unreadable: dict[str, str] = {}

    def on_list(self, objects: list[PlatformObject]) -> None:
        """Replace all items."""
        self._items = {}
        for item in objects:
            self._put(item)
        self._deliver(list(self._items.values()))

    def on_change(self, kind: WatchKind, item: PlatformObject) -> None:
        """Replace or remove one item."""
        self._apply_change(kind, item)
        self._deliver(list(self._items.values()))

    def _apply_change(self, kind: WatchKind, item: PlatformObject) -> None:
        if kind is WatchKind.DELETED:
            self._items.pop(item.name, None)
        else:
            self._put(item)

    def _put(self, item: PlatformObject) -> None:
        try:
            if item.unreadable:
                raise EntryUnreadable(item.unreadable)
            self._items[item.name] = self._read(item)
            self._unreadable.pop(item.name, None)
        except EntryUnreadable as error:
            self._drop_unreadable(item, error)
        except (AttributeError, TypeError, ValueError, OverflowError) as error:
            self._drop_unreadable(item, EntryUnreadable(repr(error)))

    def _drop_unreadable(self, item: PlatformObject, error: EntryUnreadable) -> None:
        """Remove an entry that cannot be read, also if it was readable before."""
        self._items.pop(item.name, None)
        self._record_unreadable(item, error)

    def _record_unreadable(self, item: PlatformObject, error: EntryUnreadable) -> None:
        """Count an unreadable entry, and log it once per error, up to a limit of entries."""
        self.metrics.count(f'{error.code}.{self.kind}')
        if self._unreadable.get(item.name) == error.detail:
            return
        if len(self._unreadable) < UNREADABLE_LOGGED_MAX or item.name in self._unreadable:
            self._unreadable[item.name] = error.detail
            self.log.warning(
                'list.unreadable', object=item.name, code=error.code, detail=error.detail
            )
