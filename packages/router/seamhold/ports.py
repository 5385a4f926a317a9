"""Interfaces between a box and the protocols around it.

A fleet's protocols towards callers, backend servers and the object store are
implementations of these interfaces.  A dialect only translates and makes no decisions.
"""

import threading
from collections.abc import Callable, Iterator, Mapping
from enum import StrEnum
from typing import Protocol

from msgspec import Struct

from seamhold_attempts.retry import Outcome
from seamhold_messages.errors import AnswerTooLarge, SeamholdError
from seamhold_messages.fleet import Box, Engine, Evacuation
from seamhold_messages.work import Placed
from seamhold_platform import ObjectKind, Page, PlatformObject, WatchEvent

from .framing import Framing


class EngineRequest(Struct, frozen=True):
    """A request to a backend server.

    `resume_after` is the id of the last event of a stream that was passed on, '' for a
    stream from its start.  `host` is the host that the caller requested, '' if requests are
    not distinguished by it.
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
    """The answer to a caller; `body` is complete, or an iterator that may raise an error."""

    status: int
    headers: dict[str, str]
    body: bytes | Iterator[bytes]
    placed: Placed | None = None


class EngineLoad(Struct, frozen=True):
    """The load that a backend server reports: running calls, waiting calls and slots.

    `slowness` is how long work takes there as a multiple of the usual time (1.0 is usual), None
    if the server does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None

    @property
    def requests(self) -> int:
        """The number of running and waiting calls."""
        return self.running + self.waiting

    @property
    def is_full(self) -> bool:
        """Whether all slots are taken."""
        return self.running >= self.slots


class Refusal(StrEnum):
    """Why a backend server refused a call, as far as its answer shows.

    `SLOTS_FREE` means that its slots were not the reason, which leaves its memory or the
    call's time in its queue.
    """

    LEAVING = 'leaving'
    SLOTS_TAKEN = 'slots_taken'
    SLOTS_FREE = 'slots_free'
    UNREPORTED = 'untold'


class AttemptFailed(Exception):
    """An attempt that ended without a successful answer.

    `outcome` tells whether it may have run.  If there is no retry the caller receives
    `answer`, the backend server's own failure, unchanged, or else `error`.  `load` is the
    load that the server reported, if any.  `leaving` is whether the server said that it takes
    no new work, `rest_seconds` how long it wants no requests from this box.
    `connection_refused` is set if the attempt was not sent because the connection was refused:
    the server's process has ended.
    """

    def __init__(
        self,
        outcome: Outcome,
        error: SeamholdError,
        leaving: bool = False,
        answer: Answer | None = None,
        load: EngineLoad | None = None,
        connection_refused: bool = False,
    ):
        super().__init__(str(error))
        self.load = load
        self.connection_refused = connection_refused
        self.rest_seconds = 0.0
        #: Whether the answer reported a load that could not be read.
        self.load_unreadable = False
        #: None if no server answered, so that it is not known.
        self.brittle: bool | None = None
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
            return Refusal.UNREPORTED
        return Refusal.SLOTS_TAKEN if self.load.is_full else Refusal.SLOTS_FREE


class Cancellation:
    """Lets another thread cancel the operation that a call waits for.

    A blocking operation attaches a function that aborts it.  If the call is already
    cancelled, the function is called immediately.
    """

    def __init__(self):
        self.cancelled = False
        self._abort: Callable[[], None] | None = None
        self._lock = threading.Lock()

    def attach(self, abort: Callable[[], None] | None) -> None:
        """Set the function that aborts the wait that follows; None after the wait."""
        with self._lock:
            self._abort = abort
            cancelled = self.cancelled
        if cancelled and abort is not None:
            abort()

    def cancel(self) -> None:
        """Abort the current wait of the call and every later one."""
        with self._lock:
            self.cancelled = True
            abort = self._abort
        if abort is not None:
            abort()


class OpenAnswer(Protocol):
    """An answer that has begun; `load` is the load that the server reported, if any.

    `leaving` is whether the server said with it that it takes no new work, `brittle` whether it
    falls over if it turns away many calls.  `load_unreadable` is whether the server reported a
    load that could not be read; `load` is then None.  `carrier` is the peer that carries the
    connection, '' if this box has connected to the server itself.
    """

    status: int
    headers: Mapping[str, str]
    load: EngineLoad | None
    load_unreadable: bool
    leaving: bool
    brittle: bool
    framing: Framing
    carrier: str

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raises AttemptFailed if it is cut."""

    def whole(self, max_bytes: int) -> bytes:
        """Return the complete body; raises AttemptFailed if it is cut or longer than this."""

    def close(self) -> None:
        """Release the answer; cancels the call if the answer was not read to its end."""


def whole_body(chunks: Iterator[bytes], max_bytes: int) -> bytes:
    """Join the parts of a body; raises AttemptFailed if it is longer than `max_bytes`."""
    parts = []
    size = 0
    for data in chunks:
        parts.append(data)
        size += len(data)
        if size > max_bytes:
            too_large = AnswerTooLarge(f'the body exceeds {max_bytes} bytes')
            raise AttemptFailed(Outcome.BROKEN, too_large)
    return b''.join(parts)


class StreamCheck(Protocol):
    """Passes on whole events only, and tracks the state of a stream.

    `error` is set if the stream must be broken off after what was returned last.  `events` is
    the number of events with data that were passed on since the stream began or was last taken
    up, and `first` the id of the first of them, '' for none.
    """

    error: SeamholdError | None
    events: int

    @property
    def first(self) -> str:
        """The id of the first event since the stream began or was taken up, '' for none."""

    @property
    def position(self) -> str:
        """The id of the last event that was passed on, '' for none."""

    @property
    def can_resume(self) -> bool:
        """Whether another backend server can be asked for what follows the last event."""

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those that end with a whole event."""

    def end(self) -> bool:
        """Return whether the stream, which was closed, is complete."""

    def restart(self) -> None:
        """Prepare to continue from another backend server."""


class Backends(Protocol):
    """Sends requests to backend servers."""

    def open(
        self,
        placed: Placed,
        request: EngineRequest,
        remaining: float,
        cancellation: Cancellation,
    ) -> OpenAnswer:
        """Send the request and return when the head of the answer has arrived.

        `remaining` is in seconds.  Raises AttemptFailed.
        """

    def stream_check(self, request: EngineRequest, service: str, /) -> StreamCheck:
        """Return a check for a stream of `service` that answers `request`."""

    def has_ended(self, placed: Placed) -> bool:
        """Whether the server's process has ended, judged by a connection attempt."""

    def close(self) -> None:
        """Close all connections."""


class ObjectStore(Protocol):
    """The store of settings and lists, with conditional writes and watches."""

    @property
    def unnamed(self) -> int:
        """Number of objects that were left out because they have no readable name."""

    def list(self, kind: ObjectKind, stale: bool = False) -> Page:
        """Return all objects of a kind and the version to watch from.

        `stale` allows an answer that is a few seconds old, which may cost less.
        """

    def get(self, kind: ObjectKind, name: str) -> PlatformObject:
        """Return one object; raises PlatformNotFound."""

    def put(self, kind: ObjectKind, item: PlatformObject) -> PlatformObject:
        """Write the object if it is still at `item.version`; '' means that it must be new.

        Returns the written object; raises PlatformConflict.
        """

    def watch(self, kind: ObjectKind, version: str, seconds: float) -> Iterator[WatchEvent]:
        """Yield the changes after `version`, for at most `seconds`."""

    def close(self) -> None:
        """Close all connections."""


class RemovableStore(ObjectStore, Protocol):
    """A store from which boxes can remove objects."""

    def delete(self, kind: ObjectKind, name: str, version: str) -> None:
        """Remove the object if it is still at `version`; raises PlatformConflict."""


class PromptPart(Struct, frozen=True):
    """A part of a prompt, `tokens` long; requests with the same `id` share it."""

    id: str
    tokens: int


class CallerMetadata(Struct, frozen=True):
    """The fields of a caller's request head, independent of the dialect.

    `remaining` is the time that the caller will wait, in seconds, None for no limit.  `key`
    is the caller's key as it was sent, '' for none.  The parts of the prompt are in order;
    the last one belongs to this request alone.  `output_tokens` is the maximum number of
    tokens to generate, 0 if it is not known.  A request that takes up a stream has in
    `resume_after` the id of the last event that the caller received, and in `resumes` the
    id of the request that brought the first one.
    """

    request_id: str
    remaining: float | None
    key: str
    prompt: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    resume_after: str = ''
    resumes: str = ''


class AttemptMetadata(Struct, frozen=True):
    """The fields that a box adds to the caller's head for a backend server.

    `remaining` is in seconds.  `fetch_from` is the address of another backend server that
    has read the shared parts of the prompt, '' for none.
    """

    request_id: str
    workspace: str
    incarnation: str
    remaining: float
    resume_after: str = ''
    urgency: int | None = None
    fetch_from: str = ''


class Verdict(Struct, frozen=True):
    """The classification of an attempt by the head of its answer.

    `genuine`: a backend server made the answer, and for this request.  `refused`: the server
    did not run the call.  `misdirected`: the server is not the expected incarnation.
    `leaving`: the expected incarnation says that it takes no new work.  `rest_seconds` is how
    long it wants no requests from this box, 0 for none.  `brittle`: it falls over if it has to
    turn away many calls in a second.  `load_unreadable`: it reported a load that could not be
    read; `load` is then None.
    """

    genuine: bool
    refused: bool = False
    misdirected: bool = False
    load: EngineLoad | None = None
    leaving: bool = False
    rest_seconds: float = 0.0
    brittle: bool = False
    load_unreadable: bool = False


class CallerDialect(Protocol):
    """The protocol towards callers."""

    def read(self, headers: Mapping[str, str]) -> CallerMetadata:
        """Parse a request head; raises BadRequest if it is invalid.

        The keys of `headers` are in lower case.
        """

    def retry_after(self, seconds: float) -> str:
        """Return the value of the Retry-After header for a delay in seconds."""

    def never_passed_on(self) -> frozenset[str]:
        """Return the lower-case names of headers that only the box may set or see."""


class BackendDialect(Protocol):
    """The protocol towards backend servers.

    `held_path` is the path at which they list the prompt parts that they hold.
    """

    held_path: str

    def headers(self, metadata: AttemptMetadata) -> dict[str, str]:
        """Return the headers that the box adds to the caller's."""

    def verdict(self, status: int, headers: Mapping[str, str], request_id: str) -> Verdict:
        """Classify the head of an answer."""

    def held(self, body: dict, started: int) -> list[PromptPart]:
        """Return the prompt parts that a backend server holds, from the body at `held_path`.

        Raises ValueError, TypeError, KeyError or AttributeError if the body is invalid or
        belongs to another start of the server than `started`, 0 if that is unknown.
        """


class Dialect(Protocol):
    """All protocols of a platform, loaded by the name of its entry point."""

    callers: CallerDialect
    backends: BackendDialect
    ready_path: str
    #: Name of the object that holds the complete settings tree.
    tree_name: str

    def store(self, url: str) -> RemovableStore:
        """Return a client of the platform's store."""

    def tree(self, item: PlatformObject) -> dict:
        """Return the values of the complete settings tree in an object.

        Its services and workspaces are lists of pairs of a name and a value.
        """

    def engine(self, item: PlatformObject) -> Engine:
        """Convert an object to a backend server."""

    def evacuation(self, item: PlatformObject) -> Evacuation:
        """Convert an object to an evacuation of a failure domain, as ordered by operators."""

    def box(self, item: PlatformObject) -> Box:
        """Convert an object to a box."""

    def box_object(self, box: Box) -> PlatformObject:
        """Return the object by which a box registers itself in the store."""
