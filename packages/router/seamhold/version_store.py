"""Keeps the history of the engines' software versions in the platform's store.

After all boxes have restarted, it tells whether a stream whose record is lost can have begun at
another version than the only one that is listed now.  A box reads the history at its start.
When a version comes to the list of engines, the box that ranks first writes it at once; the
next ones look some time later, and write what is still missing.  That a version left is written
`SETTLED_SECONDS` later: until then it counts as listed, which only makes it count for longer.
"""

import math
import queue
import threading
from collections.abc import Callable
from functools import partial

import msgspec
from msgspec import Struct

from seamhold_membership import VersionHistory
from seamhold_messages.errors import PlatformConflict, PlatformNotFound, SeamholdError
from seamhold_placement.rank import owners
from seamhold_platform import ObjectKind, PlatformObject

from .clock import boot_seconds
from .decider import Decider
from .decisions import DeciderReport, GetVersionHistory, MergeVersions
from .first_read import RETRY_SECONDS, read_until_loaded
from .logs import logger
from .metrics import Metrics
from .ports import ObjectStore
from .stored_versions import (
    HISTORY_NAME,
    SETTLED_SECONDS,
    StoredVersions,
    from_object,
    is_unsettled,
    merge_into,
    missing_versions,
    to_object,
)
from .tasks import Stop

#: Key that ranks the boxes.
WRITER_KEY = 'versions-writer'
#: Number of boxes that see to it that a change is written.
WRITERS_MAX = 5
#: Each box waits for so long for the one that ranks before it, in seconds.
RANK_SECONDS = 0.5
#: A starting box waits for the list of boxes before it ranks them, in seconds.
ROSTER_SECONDS = 1.0
#: A starting box makes no further attempt at the first read after this time, in seconds, before
#: it serves.  Without the read it serves all but streams of unknown origin.
SERVE_SECONDS = 0.5


class _Stored(Struct, frozen=True):
    """The history as last read or written, and the object's version, '' if there is none."""

    versions: StoredVersions = StoredVersions()
    version: str = ''


class _Changed:
    """The message that a version came or left."""


class VersionStore:
    """The task that reads the history of versions from the store and writes it there.

    `roster` returns the decider's report, with the boxes that are responsive.  `first_start`
    states that no box of this fleet has run before; it counts only if the store has no history.
    """

    def __init__(
        self,
        box: str,
        store: ObjectStore,
        decider: Decider,
        roster: Callable[[], DeciderReport],
        unix_time: Callable[[], float],
        metrics: Metrics,
        first_start: bool = False,
    ):
        self._box = box
        self._store = store
        self._decider = decider
        self._roster = roster
        self._unix_time = unix_time
        self._metrics = metrics
        self._log = logger('version-store')
        #: Whether no version can have been missed if the first read finds no history.
        self._is_first_start = first_start
        self._messages: queue.SimpleQueue[_Changed | Stop] = queue.SimpleQueue()
        self._stopped = threading.Event()
        #: None after a failed call, which may have been applied.
        self._stored: _Stored | None = None
        #: When to compare what is stored with what this box knows, None for never.
        self._check_at: float | None = None
        self._thread = threading.Thread(target=self._run, name='version-store', daemon=True)
        decider.versions_loaded.clear()
        decider.on_listed_versions = self.check_soon

    def start(self) -> None:
        """Start to read and write."""
        self._thread.start()

    def stop(self) -> None:
        """Stop reading and writing."""
        self._stopped.set()
        self._messages.put(Stop())

    def check_soon(self) -> None:
        """Write what the store lacks, if this box is to; returns at once."""
        self._messages.put(_Changed())

    def _run(self) -> None:
        loaded = self._decider.versions_loaded
        read_until_loaded(partial(self._try, self._read), loaded, self._stopped, SERVE_SECONDS)
        if self._stopped.wait(ROSTER_SECONDS):
            return
        self._plan_check()
        while True:
            try:
                message = self._messages.get(timeout=self._seconds_to_check())
            except queue.Empty:
                self._check()
                continue
            if isinstance(message, Stop):
                return
            self._plan_check()

    def _seconds_to_check(self) -> float | None:
        return None if self._check_at is None else max(0.0, self._check_at - boot_seconds())

    def _try(self, step: Callable[[], object]) -> bool:
        try:
            step()
        except SeamholdError as error:
            self._metrics.count(f'version_store.{error.code}')
            self._log.warning('versions.store_failed', code=error.code, detail=str(error))
            self._stored = None
            return False
        return True

    def _rank(self) -> int | None:
        """Return this box's place among those that write, None if it is not one of them."""
        writers = owners(WRITER_KEY, self._roster().responsive_boxes, WRITERS_MAX)
        return writers.index(self._box) if self._box in writers else None

    def _plan_check(self) -> None:
        """Check when it is this box's turn, or earlier if that is planned."""
        rank = self._rank()
        if rank is None:
            return
        at = boot_seconds() + rank * RANK_SECONDS
        self._check_at = at if self._check_at is None else min(at, self._check_at)

    def _check(self) -> None:
        """Write what the store lacks, and check again later if that fails or more is due."""
        self._check_at = None
        if not self._decider.engines.loaded.is_set():
            # The first list is a change, which plans the next check.
            return
        if not self._try(self._write_missing):
            self._check_at = boot_seconds() + RETRY_SECONDS
        elif self._stored is not None and is_unsettled(self._stored.versions, self._own()):
            # This check was delayed by the box's rank, so the next one is, too.
            self._check_at = boot_seconds() + SETTLED_SECONDS

    def _write_missing(self) -> None:
        stored = self._stored
        if stored is not None:
            wanted = self._wanted(stored)
            if wanted == stored.versions:
                return
            if self._rank() == 0:
                try:
                    self._put(wanted, stored.version)
                    return
                except PlatformConflict:
                    self._metrics.count('version_store.conflicts')
        stored = self._read()
        wanted = self._wanted(stored)
        if wanted != stored.versions:
            self._put(wanted, stored.version)

    def _own(self) -> VersionHistory:
        return self._decider.query(GetVersionHistory()).result()

    def _wanted(self, stored: _Stored) -> StoredVersions:
        return merge_into(stored.versions, self._own(), self._unix_time())

    def _put(self, versions: StoredVersions, version: str) -> None:
        item = self._store.put(ObjectKind.VERSIONS, to_object(versions, version))
        self._stored = _Stored(versions, item.version)
        self._metrics.count('version_store.writes')
        self._log.info('versions.written', **_described(versions))

    def _read(self) -> _Stored:
        """Read the history and merge it: what is written next must not lose any of it."""
        try:
            item = self._store.get(ObjectKind.VERSIONS, HISTORY_NAME)
        except PlatformNotFound:
            self._log.info('versions.absent', first_start=self._is_first_start)
            if self._is_first_start:
                self._is_first_start = False
                self._decider.send(MergeVersions(VersionHistory(known_seconds=math.inf)))
            self._stored = _Stored()
            return self._stored
        self._is_first_start = False
        versions = self._decoded(item)
        missing = missing_versions(versions.history(self._unix_time()), self._own())
        if missing.versions or missing.known_seconds:
            self._decider.send(MergeVersions(missing))
        self._stored = _Stored(versions, item.version)
        self._log.info('versions.read', **_described(versions))
        return self._stored

    def _decoded(self, item: PlatformObject) -> StoredVersions:
        try:
            versions = from_object(item)
        except (ValueError, msgspec.ValidationError) as error:
            self._report_unreadable('', str(error))
            return StoredVersions()
        for service, detail in versions.unreadable.items():
            self._report_unreadable(service, detail)
        return versions

    def _report_unreadable(self, service: str, detail: str) -> None:
        """Log what could not be read: a service's entry, or the whole object."""
        self._metrics.count('version_store.unreadable')
        self._log.warning('versions.unreadable', service=ascii(service), detail=detail)


def _described(versions: StoredVersions) -> dict[str, object]:
    """Return what log lines tell of a history."""
    return {'versions': len(versions.left_at), 'complete_since': str(versions.complete_since)}
