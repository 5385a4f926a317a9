"""Keeps the cases of requests that end engines in the platform's store.

Peers exchange cases within some tenths of a second; the store is for a restart after all
boxes are gone, and for boxes that reach the store but not each other.  A box reads the store
at its start and writes its own cases of suspects.  While boxes are missing, a box whose
engine ended under a request synchronizes that case with the store, and `CasesFollower`
watches the cases of the others.  One box removes expired cases.
"""

import math
import queue
import threading
from collections.abc import Callable
from functools import partial
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from seamhold_limits import TokenBucket
from seamhold_messages.errors import PlatformConflict, PlatformNotFound, SeamholdError
from seamhold_messages.names import NAME_MAX_CHARS, is_identifier
from seamhold_placement.rank import owners
from seamhold_platform import ObjectKind, PlatformObject
from seamhold_quarantine import SUSPECT_ENDS, Case, EngineEnd, is_expired

from .clock import boot_seconds
from .decider import Decider
from .decisions import DeciderReport, GetCase, ReceiveCases
from .first_read import RETRY_SECONDS, read_until_loaded
from .logs import logger
from .metrics import Metrics
from .ports import RemovableStore
from .tasks import Stop

#: Limits of a valid stored case, far above what boxes write.
ENDS_MAX = 10_000
CLEARS_MAX = 2**31
PARTNERS_MAX = 1_000
PART_MAX_CHARS = 10_000
#: Hexadecimal digits of a 64-bit hash.
HASH_DIGITS = 16
#: Maximum wait of a starting box for the first read, in seconds.
FIRST_READ_SECONDS = 1.5
#: Maximum time that a call whose engine ended waits for the store, in seconds; the same as
#: it waits for a peer.
SYNC_SECONDS = 0.15
#: Maximum rate at which a box writes first ends, per second: an engine that ends by itself
#: leaves one for each call that it held.  A request that is sent repeatedly is among the
#: first of them.
FIRST_ENDS_PER_SECOND = 20.0
#: Interval between removals of expired cases, in seconds.
CLEAN_SECONDS = 3600.0
#: Key that ranks the boxes; the first one removes expired cases.
CLEANER_KEY = 'cases-cleaner'


class StoredEnd(Struct, frozen=True):
    """An engine's end; `unix_time` is in seconds.

    The engine's hash is stored as hexadecimal text: not every JSON reader supports 64-bit
    numbers.
    """

    engine: str
    on_trial: bool
    unix_time: float
    partners: Annotated[tuple[str, ...], Meta(max_length=PARTNERS_MAX)] = ()


class StoredCase(Struct, frozen=True):
    """A case as it is stored; the name of its object is the request's digest."""

    scope: str
    workspace: Annotated[str, Meta(max_length=NAME_MAX_CHARS)]
    ends: Annotated[tuple[StoredEnd, ...], Meta(max_length=ENDS_MAX)]
    clears: Annotated[int, Meta(ge=0, le=CLEARS_MAX)] = 0
    cleared_unix_time: float | None = None
    part: Annotated[str, Meta(max_length=PART_MAX_CHARS)] = ''


def to_object(case: Case, unix_time: float, version: str = '') -> PlatformObject:
    """Return a case as an object of the store; `unix_time` is the current time in seconds."""
    ends = tuple(
        StoredEnd(f'{end.engine:x}', end.on_trial, unix_time - end.age, tuple(sorted(end.partners)))
        for end in case.ends
    )
    cleared = None if case.cleared_age is None else unix_time - case.cleared_age
    stored = StoredCase(f'{case.scope:x}', case.workspace, ends, case.clears, cleared, case.part)
    return PlatformObject(case.request, msgspec.to_builtins(stored), version)


def from_object(item: PlatformObject, unix_time: float) -> Case:
    """Return the case in an object; raises ValueError or ValidationError if it is invalid."""
    if not is_identifier(item.name):
        raise ValueError(f'{item.name!a} is not the digest of a request')
    stored = msgspec.convert(item.spec, StoredCase)
    ends = tuple(
        EngineEnd(
            _hash_from(end.engine),
            end.on_trial,
            _age(end.unix_time, unix_time),
            frozenset(end.partners),
        )
        for end in stored.ends
    )
    cleared = stored.cleared_unix_time
    age = None if cleared is None else _age(cleared, unix_time)
    return Case(
        item.name,
        _hash_from(stored.scope),
        stored.workspace,
        ends,
        stored.clears,
        age,
        stored.part,
    )


def _hash_from(digits: str) -> int:
    """Return a 64-bit hash that was written as hexadecimal text; raises ValueError."""
    if len(digits) > HASH_DIGITS or not digits.isascii() or not digits.isalnum():
        raise ValueError(f'{digits[:HASH_DIGITS]!a} is not a 64-bit hash')
    return int(digits, 16)


def _age(at: float, unix_time: float) -> float:
    """Return the seconds since a Unix time, which may be in the future; raises ValueError."""
    if not math.isfinite(at):
        raise ValueError(f'{at} is not a time')
    return max(0.0, unix_time - at)


class _SyncRequest(Struct, frozen=True):
    """A request whose case is to be synchronized with the store; `done` is set afterwards."""

    request: str
    done: threading.Event | None = None


class CaseStore:
    """The task that reads cases from the store and writes them to it.

    `roster` returns the decider's report, with the boxes that are responsive or missing.
    """

    def __init__(
        self,
        box: str,
        store: RemovableStore,
        decider: Decider,
        roster: Callable[[], DeciderReport],
        unix_time: Callable[[], float],
        metrics: Metrics,
    ):
        self._box = box
        self._store = store
        self._decider = decider
        self._roster = roster
        self._unix_time = unix_time
        self._metrics = metrics
        self._log = logger('case-store')
        self._pending: queue.SimpleQueue[_SyncRequest | Stop] = queue.SimpleQueue()
        self._stopped = threading.Event()
        now = boot_seconds()
        self._cleans_at = now + CLEAN_SECONDS
        self._first_ends = TokenBucket(FIRST_ENDS_PER_SECOND, FIRST_ENDS_PER_SECOND, now)
        self._thread = threading.Thread(target=self._run, name='case-store', daemon=True)
        decider.cases.loaded.clear()
        decider.cases.on_case_changed = self.synchronize_soon

    def start(self) -> None:
        """Start to read and write."""
        self._thread.start()

    def stop(self) -> None:
        """Stop reading and writing."""
        self._stopped.set()
        self._pending.put(Stop())

    def has_missing_boxes(self) -> bool:
        """Whether a listed box is silent: it may be up and have cases that this box lacks."""
        return bool(self._roster().missing_boxes)

    def synchronize(self, request: str) -> None:
        """Synchronize the case of a request with the store; wait at most SYNC_SECONDS.

        A slow store must not delay calls whose engine ended.
        """
        if self._decider.store_lost:
            return
        pending = _SyncRequest(request, threading.Event())
        self._pending.put(pending)
        pending.done.wait(SYNC_SECONDS)

    def synchronize_soon(self, request: str) -> None:
        """Synchronize the case of a request with the store, without waiting."""
        self._pending.put(_SyncRequest(request))

    def _run(self) -> None:
        # A box that served calls after its first read had failed let copies of requests that end
        # engines run once the store was back.
        loaded = self._decider.cases.loaded
        read_until_loaded(partial(self._try, self._read), loaded, self._stopped, FIRST_READ_SECONDS)
        while not self._stopped.is_set():
            pending = self._next()
            if isinstance(pending, Stop):
                return
            if pending is None:
                self._try(self.clean)
            elif not self._try(partial(self._write, pending.request)):
                self._pending.put(pending)
                self._stopped.wait(RETRY_SECONDS)
            elif pending.done is not None:
                pending.done.set()

    def _next(self) -> _SyncRequest | Stop | None:
        """Return the next request or the stop message, None when it is time to clean."""
        try:
            return self._pending.get(timeout=max(0.0, self._cleans_at - boot_seconds()))
        except queue.Empty:
            self._cleans_at = boot_seconds() + CLEAN_SECONDS
            return None

    def clean(self) -> None:
        """Remove expired cases, if this box ranks first for it.

        Each box reads all stored cases at its start, and nothing else removes them.
        """
        if owners(CLEANER_KEY, self._roster().responsive_boxes) != [self._box]:
            return
        for item in self._store.list(ObjectKind.QUARANTINE).objects:
            if self._is_expired_object(item) and self._try(partial(self._remove, item)):
                self._log.info('case.removed', digest=item.name)

    def _is_expired_object(self, item: PlatformObject) -> bool:
        try:
            return is_expired(from_object(item, self._unix_time()))
        except (ValueError, msgspec.ValidationError):
            # Not written by a box; it was logged when it was read.
            return False

    def _remove(self, item: PlatformObject) -> None:
        """Remove an object, unless another end has been written since it was read."""
        self._store.delete(ObjectKind.QUARANTINE, item.name, item.version)

    def _try(self, step: Callable[[], None]) -> bool:
        try:
            step()
        except SeamholdError as error:
            self._metrics.count(f'case_store.{error.code}')
            return False
        return True

    def _read(self) -> None:
        self.merge_objects(self._store.list(ObjectKind.QUARANTINE).objects)

    def merge_objects(self, objects: list[PlatformObject]) -> None:
        """Merge the cases in objects of the store; any thread may call it."""
        now = self._unix_time()
        cases = []
        for item in objects:
            try:
                cases.append(from_object(item, now))
            except (ValueError, msgspec.ValidationError) as error:
                self._log.warning('case.unreadable', digest=item.name, detail=str(error))
        if cases:
            self._decider.query(ReceiveCases(tuple(cases))).result()
            self._log.info('cases.read', cases=len(cases))

    def _read_one(self, request: str) -> None:
        try:
            stored = self._store.get(ObjectKind.QUARANTINE, request)
        except PlatformNotFound:
            return
        self.merge_objects([stored])

    def _write(self, request: str) -> None:
        case = self._case(request)
        if case is None or not self._may_write(case):
            self._read_one(request)
            return
        try:
            self._store.put(ObjectKind.QUARANTINE, to_object(case, self._unix_time()))
            return
        except PlatformConflict:
            stored = self._store.get(ObjectKind.QUARANTINE, request)
        # Merge first: the next write must not lose what another box wrote.
        self.merge_objects([stored])
        case = self._case(request)
        if case is None:
            # Dropped meanwhile to make room; the store keeps what another box wrote.
            return
        item = to_object(case, self._unix_time(), stored.version)
        if not _contains_case(stored, case):
            self._store.put(ObjectKind.QUARANTINE, item)

    def _may_write(self, case: Case) -> bool:
        return len(case.ends) >= SUSPECT_ENDS or self._first_ends.take(1, boot_seconds())

    def _case(self, request: str) -> Case | None:
        return self._decider.query(GetCase(request)).result()


def _contains_case(stored: PlatformObject, case: Case) -> bool:
    """Whether the stored object already contains all ends and clears of `case`."""
    try:
        stored_case = from_object(stored, 0.0)
    except (ValueError, msgspec.ValidationError):
        return False
    stored_ends = {(end.engine, end.on_trial, end.partners) for end in stored_case.ends}
    return stored_case.clears >= case.clears and all(
        (end.engine, end.on_trial, end.partners) in stored_ends for end in case.ends
    )
