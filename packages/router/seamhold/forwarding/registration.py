"""Keeps this box's entry in the platform's list of boxes and removes dead entries.

Entries do not expire.  A box that is missing from the list writes its entry.  The first
of the live boxes removes the entry of a box that was silent for long; a box that was
only partitioned writes its entry again.
"""

import threading
from collections.abc import Callable

from seamhold_messages.errors import PlatformConflict, SeamholdError
from seamhold_messages.fleet import Box
from seamhold_platform import ObjectKind, PlatformObject

from ..logs import logger
from ..metrics import Metrics
from ..ports import Dialect, RemovableStore

#: The entry of a box that was silent for this long is removed, in seconds.
MAX_SILENT_SECONDS = 60.0
ROUND_SECONDS = 2.0
#: The received list may be this much older than this box's own entry, in seconds.
MAX_LIST_AGE_SECONDS = 15.0


class Registration:
    """The task that maintains this box's entry and removes the entries of dead boxes."""

    def __init__(
        self,
        me: Box,
        dialect: Dialect,
        store: RemovableStore,
        metrics: Metrics,
        clock: Callable[[], float],
        live_boxes: Callable[[], tuple[str, ...]],
    ):
        self._me = me
        self._dialect = dialect
        self._store = store
        self._metrics = metrics
        self._clock = clock
        self._live_boxes = live_boxes
        self._log = logger('registration')
        self._listed: dict[str, Box] = {}
        self._seen_at: dict[str, float] = {}
        self._list_loaded = False
        self._written_at: float | None = None
        self._changed = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name='registration', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; the list stays as it is."""
        self._stopped.set()
        self._changed.set()

    def update_listed(self, boxes: list[Box]) -> None:
        """Replace the list of boxes by the platform's current one."""
        self._listed = {box.name: box for box in boxes}
        self._list_loaded = True
        self._changed.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._changed.wait(ROUND_SECONDS)
            self._changed.clear()
            if not self._list_loaded or self._stopped.is_set():
                continue
            try:
                self._register()
                self._remove_dead()
            except SeamholdError as error:
                self._metrics.count(f'registration.{error.code}')
                self._stopped.wait(ROUND_SECONDS)

    def _register(self) -> None:
        now = self._clock()
        written = self._written_at
        if self._listed.get(self._me.name) == self._me:
            return
        if written is not None and now < written + MAX_LIST_AGE_SECONDS:
            return
        item = self._dialect.box_object(self._me)
        try:
            self._store.put(ObjectKind.BOXES, item)
        except PlatformConflict:
            held = self._store.get(ObjectKind.BOXES, self._me.name)
            self._store.put(ObjectKind.BOXES, PlatformObject(item.name, item.spec, held.version))
        self._written_at = now
        self._log.info('box.registered', address=self._me.peer_address)

    def _remove_dead(self) -> None:
        """Remove entries of boxes that were silent for long, if this is the first live box."""
        now = self._clock()
        live = self._live_boxes()
        for name in self._listed:
            if name in live or name not in self._seen_at:
                self._seen_at[name] = now
        if not live or live[0] != self._me.name:
            return
        for name in [
            name for name in self._listed if now - self._seen_at[name] > MAX_SILENT_SECONDS
        ]:
            held = self._store.get(ObjectKind.BOXES, name)
            self._store.delete(ObjectKind.BOXES, name, held.version)
            del self._listed[name]
            self._log.info('box.cleared', box=name)
