"""What boxes ask of one another besides digests."""

from msgspec import Struct

from seamhold_messages.errors import SeamholdError
from seamhold_messages.fleet import Box, Engine, Evacuation
from seamhold_messages.work import Holding


class FleetLists(Struct, frozen=True):
    """The platform's lists as a box last saw them, and at which revision.

    A version of 0 means that the platform does not tell one.  `held` tells
    which engines have read which chats, if that was asked for; `held_complete`
    that the box has known for long, or from one that has.
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
    """A caller's request on its way to the box that holds its ticket.

    `remaining` is what the caller's deadline leaves, in seconds: the box
    that receives it sets it against its own clock.
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
    """The relayed answer is whole, or failed with `error`."""

    error: SeamholdError | None = None


AnswerPart = AnswerHead | bytes | AnswerEnd


class ClaimAsk(Struct, frozen=True):
    """One key that a call wants to own; `wait` is in seconds."""

    bucket: int
    key: str
    owner: str
    body_hash: str
    wait: float
