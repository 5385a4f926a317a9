"""What the decider task is told and asked, and what it answers."""

from dataclasses import dataclass

from seamhold_attempts.retry import Outcome
from seamhold_membership import Digest
from seamhold_messages.fleet import Box, Engine, Phase
from seamhold_messages.work import Call, Holding
from seamhold_settings import Tree

from .tasks import Ask


@dataclass(slots=True)
class Admit(Ask):
    """A new call asks for a place; answered by Placed or Refused."""

    call: Call


@dataclass(slots=True)
class Again(Ask):
    """A call whose attempt failed asks for another engine."""

    call_id: str
    failed_engine: str
    outcome: Outcome


@dataclass(slots=True)
class Began:
    """The engine of a call has begun to answer."""

    call_id: str


@dataclass(slots=True)
class Attempted:
    """An attempt ended."""

    call_id: str
    outcome: Outcome


@dataclass(slots=True)
class Closed:
    """A call is over."""

    call_id: str


@dataclass(slots=True)
class Abandon:
    """The caller of a call that may be waiting has left."""

    call_id: str


@dataclass(slots=True)
class EngineLeaving:
    """An engine told one of this box's calls that it is leaving."""

    engine: str


@dataclass(slots=True)
class UseSettings:
    """A tree came into force."""

    tree: Tree


@dataclass(slots=True)
class SetEngines:
    """The platform's list of engines, as it stood at `version`.

    One that is not newer than the list in use is passed over; 0 is always taken.
    """

    engines: list[Engine]
    version: int = 0


@dataclass(slots=True)
class SetBoxes:
    """The platform's list of boxes, as it stood at `version`.

    One that is not newer than the list in use is passed over; 0 is always taken.
    """

    boxes: list[Box]
    version: int = 0


@dataclass(slots=True)
class WantLists(Ask):
    """Asks for the platform's lists as last seen, as FleetLists."""

    holdings: bool = False


@dataclass(slots=True)
class HearHoldings:
    """A peer told which engines have read which chats."""

    held: tuple[Holding, ...]


@dataclass(slots=True)
class LearnHoldings:
    """An engine told which chats it has read; peers are told."""

    engine: str
    chats: list[str]


@dataclass(slots=True)
class Hear:
    """A peer told its state."""

    digest: Digest


@dataclass(slots=True)
class WantDigests(Ask):
    """The next digest for each of some peers, with the settings in force here."""

    peers: tuple[str, ...]
    settings_total: int
    settings_print: int


@dataclass(slots=True)
class DigestsSent:
    """Digests went out."""

    digests: tuple[Digest, ...]


@dataclass(slots=True)
class Leaving:
    """This box is stopping."""


@dataclass(frozen=True, slots=True)
class BoxReport:
    """A peer as this box sees it."""

    name: str
    phase: Phase
    incarnation: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine as this box sees it."""

    name: str
    service: str
    phase: Phase
    requests: int
    tokens: int


@dataclass(frozen=True, slots=True)
class DeciderReport:
    """What the decider shows on the status page and to other tasks."""

    in_flight: int
    live_boxes: tuple[str, ...]
    boxes: tuple[BoxReport, ...]
    neighbours: tuple[str, ...]
    engines: tuple[EngineReport, ...]
    counts: dict[str, int]


@dataclass(slots=True)
class WantReport(Ask):
    """Asks for a DeciderReport."""
