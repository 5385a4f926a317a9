"""Keeps what is known of requests that end engines in the platform's store.

Peers tell each other within some tenths of a second; the store is for the moment at which
all boxes are gone, and for boxes that reach it but not each other.  A box reads it at its
start and writes what itself learned of suspects; while boxes are missing, a box whose engine
ended under a request joins that with the store, and `CasesFollower` follows the others.  One
box removes what is long over.
"""

import queue
import threading
from collections.abc import Callable
from functools import partial

import msgspec
from msgspec import Struct

from seamhold_limits import TokenBucket
from seamhold_messages.errors import PlatformConflict, PlatformNotFound, SeamholdError
from seamhold_placement.rank import owners
from seamhold_platform import ObjectKind, PlatformObject
from seamhold_quarantine import SUSPECT_ENDS, Case, EngineEnd, is_expired

from .clock import boot_seconds
from .decider import Decider
from .decisions import DeciderReport, HearCases, WantCase
from .logs import logger
from .metrics import Metrics
from .ports import RemovableStore
from .tasks import Stop

#: Time until a call that failed is made again, in seconds.
RETRY_SECONDS = 2.0
#: The same for the first read, for which a box that starts waits.  In seconds.
FIRST_RETRY_SECONDS = 0.2
#: How long a box that starts waits for the first read, in seconds.
FIRST_READ_SECONDS = 1.5
#: A call whose engine ended waits so long for the store, as it does for a box.  In seconds.
JOIN_SECONDS = 0.15
#: First ends that a box writes a second at most: an engine that ends by itself leaves one of
#: each call that it held, of which a request that comes again and again is among the first.
FIRST_ENDS_PER_SECOND = 20.0
#: How often what is over is removed, in seconds.
CLEAN_SECONDS = 3600.0
#: Ranks the box that removes it.
CLEANER_KEY = 'cases-cleaner'


class StoredEnd(Struct, frozen=True):
    """An engine's end; `unix_time` is in seconds.

    The engine's hash has 64 bits, more than every reader of JSON holds: it goes as text.
    """

    engine: str
    on_trial: bool
    unix_time: float


class StoredCase(Struct, frozen=True):
    """A case as it stands in the store; its object is named by the request's digest."""

    scope: str
    workspace: str
    ends: tuple[StoredEnd, ...]
    clears: int = 0
    cleared_unix_time: float | None = None


def to_object(case: Case, unix_time: float, version: str = '') -> PlatformObject:
    """A case as an object of the store, at `unix_time` in seconds."""
    ends = tuple(
        StoredEnd(f'{end.engine:x}', end.on_trial, unix_time - end.age) for end in case.ends
    )
    cleared = None if case.cleared_age is None else unix_time - case.cleared_age
    stored = StoredCase(f'{case.scope:x}', case.workspace, ends, case.clears, cleared)
    return PlatformObject(case.request, msgspec.to_builtins(stored), version)


def from_object(item: PlatformObject, unix_time: float) -> Case:
    """The case that an object tells; raises ValueError if it cannot be read."""
    stored = msgspec.convert(item.spec, StoredCase)
    ends = tuple(
        EngineEnd(int(end.engine, 16), end.on_trial, max(0.0, unix_time - end.unix_time))
        for end in stored.ends
    )
    cleared = stored.cleared_unix_time
    age = None if cleared is None else max(0.0, unix_time - cleared)
    return Case(item.name, int(stored.scope, 16), stored.workspace, ends, stored.clears, age)


class _Wanted(Struct, frozen=True):
    """A request of which the store and this box should know the same; `done` tells when."""

    request: str
    done: threading.Event | None = None


class CaseStore:
    """The task that reads the store and writes to it.

    `roster` tells which boxes this one hears.
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
        self._changed: queue.SimpleQueue[_Wanted | Stop] = queue.SimpleQueue()
        self._stopped = threading.Event()
        now = boot_seconds()
        self._cleans_at = now + CLEAN_SECONDS
        self._first_ends = TokenBucket(FIRST_ENDS_PER_SECOND, FIRST_ENDS_PER_SECOND, now)
        self._thread = threading.Thread(target=self._run, name='case-store', daemon=True)
        decider.cases.known.clear()
        decider.cases.on_case = self.join_soon

    def start(self) -> None:
        """Begin to read and write."""
        self._thread.start()

    def stop(self) -> None:
        """Write no more."""
        self._stopped.set()
        self._changed.put(Stop())

    def misses_boxes(self) -> bool:
        """Whether a listed box is silent: it may be there and know what this one does not."""
        return bool(self._roster().missing_boxes)

    def join(self, request: str) -> None:
        """Join what this box and the store know of a request, and wait for it a little.

        A store that is slow must not hold calls whose engine ended.
        """
        if self._decider.store_lost:
            return
        wanted = _Wanted(request, threading.Event())
        self._changed.put(wanted)
        wanted.done.wait(JOIN_SECONDS)

    def join_soon(self, request: str) -> None:
        """The same without waiting."""
        self._changed.put(_Wanted(request))

    def _run(self) -> None:
        self._read_first()
        while not self._stopped.is_set():
            wanted = self._next()
            if isinstance(wanted, Stop):
                return
            if wanted is None:
                self._try(self.clean)
            elif not self._try(partial(self._write, wanted.request)):
                self._changed.put(wanted)
                self._stopped.wait(RETRY_SECONDS)
            elif wanted.done is not None:
                wanted.done.set()

    def _next(self) -> _Wanted | Stop | None:
        """What is to be done next, None when it is time to clean."""
        try:
            return self._changed.get(timeout=max(0.0, self._cleans_at - boot_seconds()))
        except queue.Empty:
            self._cleans_at = boot_seconds() + CLEAN_SECONDS
            return None

    def clean(self) -> None:
        """Remove what is over, where this box ranks first for that.

        Each box that starts reads all that is kept, and nothing else ends that.
        """
        if owners(CLEANER_KEY, self._roster().heard_boxes) != [self._box]:
            return
        for item in self._store.list(ObjectKind.QUARANTINE).objects:
            if self._is_over(item) and self._try(partial(self._remove, item)):
                self._log.info('case.removed', digest=item.name)

    def _is_over(self, item: PlatformObject) -> bool:
        try:
            return is_expired(from_object(item, self._unix_time()))
        except (ValueError, msgspec.ValidationError):
            # Another's writing; said when it was read.
            return False

    def _remove(self, item: PlatformObject) -> None:
        """Remove an object, unless another end was written since it was read."""
        self._store.delete(ObjectKind.QUARANTINE, item.name, item.version)

    def _read_first(self) -> None:
        """Read all that is kept, again and again until that succeeds.

        A failed call tells nothing: a box that served on it let copies run as the store came
        back.  One that stays away keeps no box from serving.
        """
        known = self._decider.cases.known
        serves_at = boot_seconds() + FIRST_READ_SECONDS
        while not self._stopped.is_set() and not self._try(self._read):
            if boot_seconds() >= serves_at:
                known.set()
            self._stopped.wait(RETRY_SECONDS if known.is_set() else FIRST_RETRY_SECONDS)
        known.set()

    def _try(self, step: Callable[[], None]) -> bool:
        try:
            step()
        except SeamholdError as error:
            self._metrics.count(f'case_store.{error.code}')
            return False
        return True

    def _read(self) -> None:
        self.take(self._store.list(ObjectKind.QUARANTINE).objects)

    def take(self, objects: list[PlatformObject]) -> None:
        """Take over what objects of the store tell; called by any thread."""
        now = self._unix_time()
        cases = []
        for item in objects:
            try:
                cases.append(from_object(item, now))
            except (ValueError, msgspec.ValidationError) as error:
                self._log.warning('case.unreadable', digest=item.name, detail=str(error))
        if cases:
            self._decider.ask(HearCases(tuple(cases))).result()
            self._log.info('cases.read', cases=len(cases))

    def _read_one(self, request: str) -> None:
        try:
            held = self._store.get(ObjectKind.QUARANTINE, request)
        except PlatformNotFound:
            return
        self.take([held])

    def _write(self, request: str) -> None:
        case = self._case(request)
        if case is None or not self._may_write(case):
            self._read_one(request)
            return
        try:
            self._store.put(ObjectKind.QUARANTINE, to_object(case, self._unix_time()))
            return
        except PlatformConflict:
            held = self._store.get(ObjectKind.QUARANTINE, request)
        # The next write must not lose what another box wrote.
        self.take([held])
        case = self._case(request)
        if case is None:
            # Dropped meanwhile for others'; the store has what another box wrote.
            return
        item = to_object(case, self._unix_time(), held.version)
        if not _tells_as_much(held, case):
            self._store.put(ObjectKind.QUARANTINE, item)

    def _may_write(self, case: Case) -> bool:
        return len(case.ends) >= SUSPECT_ENDS or self._first_ends.take(1, boot_seconds())

    def _case(self, request: str) -> Case | None:
        return self._decider.ask(WantCase(request)).result()


def _tells_as_much(held: PlatformObject, case: Case) -> bool:
    """Whether the store already has all that `case` tells."""
    try:
        told = from_object(held, 0.0)
    except (ValueError, msgspec.ValidationError):
        return False
    known = {(end.engine, end.on_trial) for end in told.ends}
    return told.clears >= case.clears and all(
        (end.engine, end.on_trial) in known for end in case.ends
    )
