"""What the decider task is told and asked, and what it answers."""

from msgspec import Struct

from seamhold_attempts.retry import Outcome
from seamhold_membership import Digest
from seamhold_messages.fleet import Box, Engine, Evacuation, Phase
from seamhold_messages.work import Call, Holding
from seamhold_quarantine import Case, EndReport, Standing, TrialRequest, TrialResult
from seamhold_settings import Tree

from .tasks import Ask


class Admit(Ask):
    """A new call asks for a place; answered by Placed or Refused."""

    call: Call


class Again(Ask):
    """A call whose attempt failed asks for another engine."""

    call_id: str
    failed_engine: str
    outcome: Outcome


class Began(Struct):
    """The engine of a call has begun to answer."""

    call_id: str


class EngineTold(Struct):
    """An engine told with an answer how many calls run and wait there.

    `sent_at` is when the call that it answered was sent, on the box's clock.
    """

    engine: str
    requests: int
    sent_at: float


class StoreAnswered(Struct):
    """The platform answered this box."""


class Attempted(Struct):
    """An attempt ended."""

    call_id: str
    outcome: Outcome


class Closed(Struct):
    """A call is over."""

    call_id: str


class Abandon(Struct):
    """The caller of a call that may be waiting has left."""

    call_id: str


class EngineLeaving(Struct):
    """An engine told one of this box's calls in so many words that it is leaving."""

    engine: str


class EngineEnded(Ask):
    """An engine ended under one of this box's calls; answered by EndCounted.

    An `excused` request ended well just before: nothing is held against it.
    """

    engine: Engine
    report: EndReport
    excused: bool = False


class EndCounted(Struct, frozen=True):
    """How many engines ended under a request as far as this box knows.

    `report` is what the box that joins them is told, None for nothing.
    """

    ends: int = 0
    report: EndReport | None = None


class HearEnd(Ask):
    """A peer told that an engine ended; answered by EndReportReply."""

    report: EndReport


class AskTrial(Ask):
    """Whether a request may run now; answered by Permission."""

    ask: TrialRequest


class EndTrial(Struct):
    """A run of a suspect is over."""

    over: TrialResult


class WantStanding(Ask):
    """Asks what this box by itself says of a request to a service, as Permission."""

    request: str
    service: str


class WantCase(Ask):
    """Asks for all that this box knows of one request, None for nothing."""

    request: str


class WantCases(Ask):
    """Asks for all cases that boxes share."""


class HearCases(Ask):
    """A peer or the store told of requests under which engines ended."""

    cases: tuple[Case, ...]


class LiftCase(Ask):
    """An operator clears a request; answered by whether it was known."""

    request: str


class UseSettings(Struct):
    """A tree came into force."""

    tree: Tree


class SetEngines(Struct):
    """The platform's list of engines, as it stood at `version`.

    One that is not newer than the list in use is passed over; 0 is always taken.
    """

    engines: list[Engine]
    version: int = 0


class SetBoxes(Struct):
    """The platform's list of boxes, as it stood at `version`.

    One that is not newer than the list in use is passed over; 0 is always taken.
    """

    boxes: list[Box]
    version: int = 0


class SetEvacuations(Struct):
    """The platform's list of evacuated failure domains, as it stood at `version`.

    One that is not newer than the list in use is passed over; 0 is always taken.
    """

    evacuations: list[Evacuation]
    version: int = 0


class WantLists(Ask):
    """Asks for the platform's lists as last seen, as FleetLists."""

    holdings: bool = False


class HearHoldings(Struct):
    """A peer told which engines have read which chats."""

    held: tuple[Holding, ...]


class LearnHoldings(Struct):
    """An engine told which chats it has read."""

    engine: str
    chats: list[str]


class WantLearned(Ask):
    """Ask for all holdings that engines told this box."""


class Hear(Struct):
    """A peer told its state."""

    digest: Digest


class WantDigests(Ask):
    """The next digest for each of some peers, with the settings in force here."""

    peers: tuple[str, ...]
    settings_total: int
    settings_print: int


class DigestsSent(Struct):
    """Digests went out."""

    digests: tuple[Digest, ...]


class Leaving(Struct):
    """This box is stopping."""


class BoxReport(Struct, frozen=True):
    """A peer as this box sees it."""

    name: str
    phase: Phase
    incarnation: str
    peer_address: str


class EngineReport(Struct, frozen=True):
    """An engine as this box sees it."""

    name: str
    service: str
    phase: Phase
    requests: int
    tokens: int


class KnowledgeReport(Struct, frozen=True):
    """How old what this box knows of the fleet is, in seconds.

    `store` is how long ago the platform last answered any box, `oldest_reading` how
    old the load is that the quietest engine told; None if there is none.
    """

    store: float | None
    readings: int
    oldest_reading: float | None
    held_chats: int


class CaseReport(Struct, frozen=True):
    """A request under which engines ended, as operators see it; `rest` is in seconds."""

    request: str
    workspace: str
    standing: Standing
    engines_ended: int
    rest: float


class DeciderReport(Struct, frozen=True):
    """What the decider shows on the status page and to other tasks."""

    in_flight: int
    live_boxes: tuple[str, ...]
    boxes: tuple[BoxReport, ...]
    neighbours: tuple[str, ...]
    engines: tuple[EngineReport, ...]
    counts: dict[str, int]
    knowledge: KnowledgeReport = KnowledgeReport(None, 0, None, 0)
    quarantine: tuple[CaseReport, ...] = ()
    #: Neighbours that are listed and were silent for longer than it takes to tell all.
    missing_boxes: tuple[str, ...] = ()

    @property
    def heard_boxes(self) -> list[str]:
        """The live boxes that are not missing, this one among them."""
        return [name for name in self.live_boxes if name not in self.missing_boxes]


class WantReport(Ask):
    """Asks for a DeciderReport."""
