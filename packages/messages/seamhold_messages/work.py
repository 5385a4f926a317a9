"""What the parts say about a call and the work it brings."""

from enum import IntEnum

from msgspec import Struct


class Priority(IntEnum):
    """Order in a queue; lower goes first."""

    INTERACTIVE = 0
    NORMAL = 1
    BULK = 2


class Work(Struct, frozen=True):
    """Work in flight: calls, and the tokens estimated for them at dispatch."""

    requests: int = 0
    tokens: int = 0

    def __add__(self, other: 'Work') -> 'Work':
        return Work(self.requests + other.requests, self.tokens + other.tokens)

    def __sub__(self, other: 'Work') -> 'Work':
        return Work(self.requests - other.requests, self.tokens - other.tokens)


NO_WORK = Work()


class Usage(Struct, frozen=True):
    """One workspace on one box: work in flight and the calls it wants.

    `over` is the part of the work that is above the box's share by now: shares move before
    the work that was admitted under them has ended.
    """

    work: Work = NO_WORK
    demand: float = 0.0
    over: Work = NO_WORK


class Call(Struct, frozen=True):
    """One call that asks for a place.

    `chat` is the salted key that ranks engines; `deadline` is in seconds on
    the clock of the box that decides; `hint` tells which engine served the
    chat's last turn, or None; `excluded` holds engines already tried.  A call
    that is not `sticky` reuses nothing and goes where the load is least.
    `objective` is the time to the first byte that counts as in time, in
    seconds, None if the settings name none.
    """

    id: str
    workspace: str
    service: str
    chat: str
    work: Work
    deadline: float
    priority: Priority = Priority.NORMAL
    hint: str = ''
    excluded: frozenset[str] = frozenset()
    sticky: bool = True
    objective: float | None = None


class Holding(Struct, frozen=True):
    """An engine that has read what a chat shares; `chat` is a 32-bit hash of its key."""

    chat: int
    engine: str


class LoadReading(Struct, frozen=True):
    """The calls that an engine said run or wait there, `age` seconds ago."""

    engine: str
    requests: int
    age: float = 0.0


class FailureReport(Struct, frozen=True):
    """What the calls of box `origin` met at an engine, `age` seconds ago.

    `count` of them failed in the seconds before.  `incarnation_key` is a 32-bit hash
    of the engine's start if these calls made it suspect, else 0.  `stamp` grows with
    each report of the origin.
    """

    origin: str
    engine: str
    count: int
    stamp: int
    incarnation_key: int = 0
    age: float = 0.0


class WatcherHeartbeat(Struct, frozen=True):
    """A box that watched the platform's store for all, `age` seconds ago."""

    box: str
    age: float = 0.0


class Suspect(Struct, frozen=True):
    """An engine at which calls fail; `incarnation_key` is a 32-bit hash of its start."""

    engine: str
    incarnation_key: int


class Placed(Struct, frozen=True):
    """The call goes to `engine`, which stands at `rank` for its chat.

    `spilled` tells that it is not the one that holds the chat's cache, as
    far as that is known; `fetch_engine` is one that should, at `fetch_from`, and
    `holders` counts those that are known.  `load` and `mean` are the calls that
    the box knew on the engine and on the average one when it decided; `load_age` is
    how long before the engine had told it, in seconds, None if boxes told it.
    `mean_of_all` counts engines that leave, too, as the bound does; `silent` tells that
    the engine did not answer this box.  `engines` were those that might get the call, `idle`
    those that are up and get no new work.
    """

    call_id: str
    engine: str
    address: str
    rank: int
    spilled: bool
    incarnation: str = ''
    fetch_from: str = ''
    fetch_engine: str = ''
    holders: int = 0
    load: int = 0
    mean: float = 0.0
    load_age: float | None = None
    mean_of_all: float = 0.0
    silent: bool = False
    engines: int = 0
    idle: int = 0


class Refused(Struct, frozen=True):
    """The call was not sent; `code` is one of `errors.ERRORS_BY_CODE`."""

    call_id: str
    code: str
    detail: str = ''
    retry_after: float | None = None


class Queued(Struct, frozen=True):
    """The call waits; `Placed` or `Refused` follows."""

    call_id: str


Decision = Placed | Refused | Queued
