"""Calls, the work they cause, and placement decisions."""

from enum import IntEnum

from msgspec import Struct


class Priority(IntEnum):
    """Queue priority; lower values go first."""

    INTERACTIVE = 0
    NORMAL = 1
    BULK = 2


#: Number of priorities; `len` of an enumeration takes several times as long.
PRIORITIES = len(Priority)

#: Number of ranks in which calls wait.
RANKS = 10


class Work(Struct, frozen=True):
    """Work in flight: number of calls, and the tokens estimated for them at dispatch."""

    requests: int = 0
    tokens: int = 0

    def __add__(self, other: 'Work') -> 'Work':
        return Work(self.requests + other.requests, self.tokens + other.tokens)

    def __sub__(self, other: 'Work') -> 'Work':
        return Work(self.requests - other.requests, self.tokens - other.tokens)


NO_WORK = Work()


class Usage(Struct, frozen=True):
    """Usage of one workspace on one box: work in flight and demand.

    `excess` is the part of the work that now exceeds the box's share: a share can shrink
    before the work admitted under it has ended.
    """

    work: Work = NO_WORK
    demand: float = 0.0
    excess: Work = NO_WORK


class Call(Struct, frozen=True):
    """One call to be placed on an engine.

    `chat` is the salted key that ranks engines; `deadline` is in seconds on the
    clock of the deciding box; `hint` is the engine that served the chat's
    previous turn, '' if unknown; `excluded` holds engines already tried.  A call
    that is not `sticky` reuses no cache and goes to the least loaded engine.
    `objective` is the target time to the first byte in seconds, None if the
    settings define none.  `version` is the only software version whose engines
    may take the call, None for any.  `workspace_priority` is the workspace's own priority, 0 is
    the highest.  `prompt_tokens` are the tokens of the whole prompt, `shared_tokens` those that an
    engine which holds the chat need not process again.
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
    version: str | None = None
    workspace_priority: int = 0
    prompt_tokens: int = 0
    shared_tokens: int = 0

    @property
    def rank(self) -> int:
        """Place in the order of calls, 0 first: by workspace priority, then by route priority."""
        return min(RANKS - 1, self.workspace_priority * PRIORITIES + self.priority)


class Holding(Struct, frozen=True):
    """An engine that caches a chat's shared prompt; `chat` is a 32-bit hash of its key."""

    chat: int
    engine: str


class LoadReading(Struct, frozen=True):
    """Number of calls running or queued at an engine, as it reported `age` seconds ago.

    `slowness` is how long work takes there as a multiple of the usual time, None if the engine
    did not report it.
    """

    engine: str
    requests: int
    age: float = 0.0
    slowness: float | None = None


class FailureReport(Struct, frozen=True):
    """Failures of box `origin`'s calls to an engine, as of `age` seconds ago.

    `count` is the number of recent failures.  `incarnation_key` is a 32-bit hash of
    the engine's incarnation if these failures made it suspect, else 0.  `stamp` grows
    with each report of the origin.
    """

    origin: str
    engine: str
    count: int
    stamp: int
    incarnation_key: int = 0
    age: float = 0.0


class WatcherHeartbeat(Struct, frozen=True):
    """Heartbeat, `age` seconds old, of a box that watches the platform's store for all boxes."""

    box: str
    age: float = 0.0


class RetryCount(Struct, frozen=True):
    """What one box spent of the retry budget of a service in the budget's window.

    `service_key` is the hash of the service's name, `first_attempts` the calls that it sent for
    the first time.
    """

    service_key: int
    retries: int
    first_attempts: int


class WaitingCalls(Struct, frozen=True):
    """The calls of one service and rank that wait at a box.

    `service_key` is the hash of the service's name, `oldest` how long the oldest of them has
    waited, in seconds.
    """

    service_key: int
    rank: int
    calls: int
    oldest: float = 0.0


class SlotDemand(Struct, frozen=True):
    """One box's demand for the slots of a brittle service.

    `service_key` is the hash of the service's name, `demand_tenths` the demand in tenths of a
    call.  `brittle_seconds` is how much longer the service counts as brittle.  `excess` is the
    number of calls that the box has above its share, by the hash of the engine's name.
    """

    service_key: int
    demand_tenths: int
    brittle_seconds: float
    excess: dict[int, int]


class SlotReport(Struct, frozen=True):
    """What one box reports to another on its list of its use of brittle engines.

    `receiver_start` is the hash of the receiver's incarnation as the sender last received it, 0 for
    none: a report to an earlier start of the receiver must not count for this one.
    """

    receiver_start: int
    demands: tuple[SlotDemand, ...]


class BoxRetries(Struct, frozen=True):
    """What one box spent of its retry budgets, as it said `age` seconds ago."""

    counts: tuple[RetryCount, ...] = ()
    age: float = 0.0


class Suspect(Struct, frozen=True):
    """An engine whose calls fail; `incarnation_key` is a 32-bit hash of its incarnation."""

    engine: str
    incarnation_key: int


class Placed(Struct, frozen=True):
    """The call goes to `engine`, whose rank for the chat is `rank`.

    `spilled` states that the engine is not known to hold the chat's cache;
    `fetch_engine`, at `fetch_from`, is one that should hold it, and `holders` is the
    number of engines known to hold it.  `load` is the number of calls on the engine and
    `mean` the average per engine, both as known to the box when it decided; `load_age` is
    the age in seconds of the engine's own load report, None if the load came from boxes.
    `mean_of_all` includes leaving engines, as the load bound does; `silent` states that the
    engine did not answer this box.  `engines` counts the candidates for the call, `idle` the
    engines that are up but get no new work.  `version` is the engine's software version.
    `limit` is this box's concurrency limit at the engine in calls, None if none is used.
    `holds` is whether the engine is known to hold the prompt.  `predicted` is the predicted time
    to the first event in seconds if the engine was chosen by it, else None; `faster_at_holder` is
    that time at an engine without room that holds the prompt, if it is shorter.
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
    version: str = ''
    limit: float | None = None
    holds: bool = False
    predicted: float | None = None
    faster_at_holder: float | None = None


class Refused(Struct, frozen=True):
    """The call was not sent; `code` is a key of `errors.ERRORS_BY_CODE`."""

    call_id: str
    code: str
    detail: str = ''
    retry_after: float | None = None


class Queued(Struct, frozen=True):
    """The call is queued; `Placed` or `Refused` follows."""

    call_id: str


Decision = Placed | Refused | Queued
