"""What the box asks of the protocols around it.

Each protocol that a fleet may have to speak is one implementation of these:
towards callers, towards backend servers, and towards the object store.  A
dialect translates and decides nothing.
"""

import threading
from collections.abc import Callable, Iterator, Mapping
from enum import StrEnum
from typing import Protocol

from msgspec import Struct

from seamhold_attempts.retry import Outcome
from seamhold_messages.errors import SeamholdError
from seamhold_messages.fleet import Box, Engine, Evacuation
from seamhold_messages.work import Placed
from seamhold_platform import ObjectKind, Page, PlatformObject, WatchEvent


class EngineRequest(Struct, frozen=True):
    """What is sent to a backend server.

    `resume_after` is the id of the last event of a stream that was passed
    on, '' for a stream from its start.  `host` is what the caller asked, '' if that
    tells nothing.
    """

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    resume_after: str = ''
    workspace: str = ''
    urgency: int | None = None
    host: str = ''


class Answer(Struct):
    """What goes to the caller; `body` is whole or an iterator that may fail."""

    status: int
    headers: dict[str, str]
    body: bytes | Iterator[bytes]
    placed: Placed | None = None


class EngineLoad(Struct, frozen=True):
    """What a backend server told of itself: calls that run, that wait, and its slots."""

    running: int
    waiting: int
    slots: int

    @property
    def requests(self) -> int:
        """All calls there."""
        return self.running + self.waiting

    @property
    def is_full(self) -> bool:
        """Whether all slots are taken."""
        return self.running >= self.slots


class Refusal(StrEnum):
    """Why a backend server refused a call, as far as its answer tells.

    `SLOTS_FREE` leaves its memory, or the call's time in its queue.
    """

    LEAVING = 'leaving'
    SLOTS_TAKEN = 'slots_taken'
    SLOTS_FREE = 'slots_free'
    UNTOLD = 'untold'


class AttemptFailed(Exception):
    """An attempt that ended without an answer that can be passed on as good.

    `outcome` tells whether it may have run, `error` is what a caller is
    told if nothing else is tried.  `answer` is the backend server's own
    failure, which is passed on unchanged if nothing else is tried.  `load` is what
    the server told of itself, if it did.  `nobody_listens` tells of an attempt that was
    not sent that the connection was refused: the server's process ended.
    """

    def __init__(
        self,
        outcome: Outcome,
        error: SeamholdError,
        leaving: bool = False,
        answer: Answer | None = None,
        load: EngineLoad | None = None,
        nobody_listens: bool = False,
    ):
        super().__init__(str(error))
        self.load = load
        self.nobody_listens = nobody_listens
        self.outcome = outcome
        self.error = error
        self.leaving = leaving
        self.answer = answer

    @property
    def refusal(self) -> Refusal:
        """Why the server refused the call, if it did."""
        if self.leaving:
            return Refusal.LEAVING
        if self.load is None:
            return Refusal.UNTOLD
        return Refusal.SLOTS_TAKEN if self.load.is_full else Refusal.SLOTS_FREE


class Cancellation:
    """Lets another thread break off what a call waits for.

    What blocks the call attaches the way to break it off; a call that is
    cancelled already breaks off at once.
    """

    def __init__(self):
        self.cancelled = False
        self._abort: Callable[[], None] | None = None
        self._lock = threading.Lock()

    def attach(self, abort: Callable[[], None] | None) -> None:
        """Name what breaks off the wait that begins, or None after it."""
        with self._lock:
            self._abort = abort
            cancelled = self.cancelled
        if cancelled and abort is not None:
            abort()

    def cancel(self) -> None:
        """Break off whatever the call waits for, now and later."""
        with self._lock:
            self.cancelled = True
            abort = self._abort
        if abort is not None:
            abort()


class OpenAnswer(Protocol):
    """An answer that has begun; `load` is what the server told of itself, if it did."""

    status: int
    headers: Mapping[str, str]
    load: EngineLoad | None

    def chunks(self) -> Iterator[bytes]:
        """The body as it comes; raises AttemptFailed if it is cut."""

    def whole(self) -> bytes:
        """The complete body; raises AttemptFailed if it is cut."""

    def close(self) -> None:
        """Let go of the answer; one that is not whole is cancelled."""


class StreamCheck(Protocol):
    """Passes on whole events only and tells how a stream stands."""

    foreign: bool

    @property
    def position(self) -> str:
        """Id of the last event passed on, '' for none."""

    def feed(self, data: bytes) -> bytes:
        """Take bytes in; give back those that end with a whole event."""

    def end(self) -> bool:
        """The stream was closed: whether it had come to its end."""

    def restart(self) -> None:
        """The stream goes on from another backend server."""


class Backends(Protocol):
    """Sends requests to backend servers."""

    def open(
        self,
        placed: Placed,
        request: EngineRequest,
        remaining: float,
        cancellation: Cancellation,
    ) -> OpenAnswer:
        """Send the request and wait for the head of its answer; `remaining` is in seconds.

        Raises AttemptFailed.
        """

    def stream_check(self, request: EngineRequest) -> StreamCheck:
        """What watches over a stream that answers `request`."""

    def has_ended(self, placed: Placed) -> bool:
        """Whether the server's process ended, as far as a connection tells."""

    def close(self) -> None:
        """Drop all connections."""


class ObjectStore(Protocol):
    """Where settings and lists are kept: conditional writes and watches."""

    def list(self, kind: ObjectKind, stale: bool = False) -> Page:
        """All objects of a kind, and the version to watch from.

        `stale` allows an answer that is some seconds old, which may cost less.
        """

    def get(self, kind: ObjectKind, name: str) -> PlatformObject:
        """One object, or PlatformNotFound."""

    def put(self, kind: ObjectKind, item: PlatformObject) -> PlatformObject:
        """Write if the object is still at `item.version`; '' means it is new."""

    def watch(self, kind: ObjectKind, version: str, seconds: float) -> Iterator[WatchEvent]:
        """Changes after `version`, for at most so many seconds."""

    def close(self) -> None:
        """Drop all connections."""


class RemovableStore(ObjectStore, Protocol):
    """A store whose objects the boxes themselves remove."""

    def delete(self, kind: ObjectKind, name: str, version: str) -> None:
        """Remove the object if it is still at `version`."""


class PromptPart(Struct, frozen=True):
    """A part of a prompt, shared between requests by its id; `tokens` long."""

    id: str
    tokens: int


class CallerWords(Struct, frozen=True):
    """What a caller's head says, in the product's own terms.

    `remaining` is the time the caller will wait, in seconds, None for no
    limit.  `key` is the caller's key as it was sent, '' for none.  The parts
    of the prompt come in order; the last belongs to the request itself.
    `output_tokens` is the most that may be generated, 0 if not told.
    """

    request_id: str
    remaining: float | None
    key: str
    prompt: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    resume_after: str = ''


class AttemptWords(Struct, frozen=True):
    """What a backend server is told beside the caller's own head.

    `fetch_from` is the address of another that has read the prompt's shared
    parts, '' for none.
    """

    request_id: str
    workspace: str
    incarnation: str
    remaining: float
    resume_after: str = ''
    urgency: int | None = None
    fetch_from: str = ''


class Verdict(Struct, frozen=True):
    """What the head of an answer says of the attempt.

    `genuine`: a backend server made it, and for this request.  `refused`: it
    did not run the call.  `misdirected`: it is not the incarnation that was expected.
    That a server leaves is told by the platform's list alone: no answer says so for certain.
    """

    genuine: bool
    refused: bool = False
    misdirected: bool = False
    load: EngineLoad | None = None


class CallerDialect(Protocol):
    """How callers say what they want."""

    def read(self, headers: Mapping[str, str]) -> CallerWords:
        """What a head says; raises BadRequest if it cannot be read.

        `headers` are by lower-case name.
        """

    def retry_after(self, seconds: float) -> str:
        """When to come back, as callers read it."""

    def never_passed_on(self) -> frozenset[str]:
        """Lower-case names of headers that only the box may set or see."""


class BackendDialect(Protocol):
    """How backend servers are told of an attempt, and how they answer.

    At `held_path` they tell which parts of prompts they keep.
    """

    held_path: str

    def headers(self, words: AttemptWords) -> dict[str, str]:
        """The headers that the box itself adds to the caller's."""

    def verdict(self, status: int, headers: Mapping[str, str], request_id: str) -> Verdict:
        """What the head of an answer says."""

    def held(self, body: dict, started: int) -> list[PromptPart]:
        """The parts of prompts that a backend server says it keeps.

        Raises ValueError, TypeError, KeyError or AttributeError if that cannot be read,
        or is of another start than `started`, which is 0 if it is not known.
        """


class Dialect(Protocol):
    """A platform's protocols together; found by its entry point's name."""

    callers: CallerDialect
    backends: BackendDialect
    ready_path: str

    def store(self, url: str) -> RemovableStore:
        """A client of the platform's store."""

    def tree(self, item: PlatformObject) -> dict:
        """The values of the whole settings tree that an object holds."""

    def engine(self, item: PlatformObject) -> Engine:
        """A backend server as the platform lists it."""

    def evacuation(self, item: PlatformObject) -> Evacuation:
        """An evacuation of a failure domain as the operators ordered it."""

    def box(self, item: PlatformObject) -> Box:
        """A box as it wrote itself into the store."""

    def box_object(self, box: Box) -> PlatformObject:
        """A box as it writes itself into the store."""
