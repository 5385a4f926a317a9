"""Messages of the gRPC calls between boxes."""

from msgspec import Struct

from seamhold_attempts.streams import StreamOrigin
from seamhold_messages.errors import SeamholdError
from seamhold_messages.fleet import Box, Engine, Evacuation
from seamhold_messages.work import Holding


class FleetLists(Struct, frozen=True):
    """The platform's lists as a box last received them, with their versions.

    A version of 0 means that the platform states none.  `held` lists which engines
    cache which chats, if requested; `held_complete` states that the box has collected
    this for long enough, or got it from a box that has.
    """

    engines: list[Engine]
    boxes: list[Box]
    engines_version: int = 0
    boxes_version: int = 0
    held: tuple[Holding, ...] = ()
    held_complete: bool = False
    evacuations: tuple[Evacuation, ...] = ()
    evacuations_version: int = 0


class Header(Struct, frozen=True):
    """One HTTP header."""

    name: str
    value: str


class RelayedCall(Struct, frozen=True):
    """A caller's request, relayed to the box that holds its ticket.

    `remaining` is the time left until the call's deadline, in seconds: the
    receiving box applies it to its own clock.
    """

    request_id: str
    workspace: str
    ticket: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    remaining: float


class AnswerHead(Struct, frozen=True, tag='head'):
    """Status and headers of a relayed answer."""

    status: int
    headers: tuple[Header, ...]


class AnswerEnd(Struct, frozen=True):
    """End of a relayed answer: complete, or failed with `error`."""

    error: SeamholdError | None = None


AnswerPart = AnswerHead | bytes | AnswerEnd


class ClaimRequest(Struct, frozen=True):
    """Request to claim an idempotency key for a call; `wait` is in seconds."""

    bucket: int
    key: str
    owner: str
    body_hash: str
    wait: float


class LivenessQuery(Struct, frozen=True):
    """Question whether this start of an engine is alive."""

    engine: str
    incarnation: str


class LivenessReply(Struct, frozen=True):
    """A value of `seamhold.probing.Liveness`, '' if the peer does not list this start."""

    liveness: str = ''


class StreamQuery(Struct, frozen=True):
    """Request for the origin of the stream with this key, and for the versions of a service."""

    key: str
    service: str


class StreamReply(Struct, frozen=True):
    """A box's reply: the origin, None if unknown, and the service's versions as known there.

    No version of the last `known_seconds` is missing.  `other_services` may have begun a stream
    that is taken up at the service, as far as the box has seen routes change.
    """

    origin: StreamOrigin | None = None
    versions: frozenset[str] = frozenset()
    known_seconds: float = 0.0
    other_services: frozenset[str] = frozenset()


class StreamRecordsQuery(Struct, frozen=True):
    """Request for records of streams, while their service has several versions.

    `groups` has, by group of streams, the number after which the peer's records are wanted.
    """

    groups: dict[int, int]
