"""Messages to the decider task, and its replies."""

from msgspec import Struct

from seamhold_attempts.retry import Outcome
from seamhold_membership import Digest, VersionHistory
from seamhold_messages.fleet import Box, Engine, Evacuation, Phase
from seamhold_messages.work import Call, Holding
from seamhold_quarantine import Case, EndReport, Feature, Standing, TrialRequest, TrialResult
from seamhold_settings import Tree

from .tasks import Query


class Admit(Query):
    """Requests a placement for a new call; the reply is Placed or Refused."""

    call: Call


class RetryCall(Query):
    """Requests another engine for a call whose attempt failed; the reply is as for Admit.

    `version` is the software version that the call is bound to, None if to none.
    """

    call_id: str
    failed_engine: str
    outcome: Outcome
    version: str | None = None


class AnswerStarted(Struct):
    """Reports that the engine of a call has started to answer."""

    call_id: str


class EngineResting(Struct):
    """Reports for how many seconds an engine wants no requests from this box."""

    engine: str
    seconds: float


class EngineBrittle(Struct):
    """Reports whether an engine says that it falls over if it turns away many calls."""

    engine: str
    brittle: bool


class EngineLoadReported(Struct):
    """Reports how many calls run and wait at an engine, as its answer says.

    `sent_at` is when the answered call was sent, in seconds on the box's clock.  `slowness` is
    how long work takes there as a multiple of the usual time, None if not reported.
    """

    engine: str
    requests: int
    sent_at: float
    slowness: float | None = None


class StoreAnswered(Struct):
    """Reports that the platform answered this box; `is_fresh` if with its newest state."""

    is_fresh: bool = True


class WatchUnanswered(Struct):
    """Reports that the platform did not answer a watch of this box in time."""


class AttemptEnded(Struct):
    """Reports the outcome of an attempt."""

    call_id: str
    outcome: Outcome


class CallClosed(Struct):
    """Reports that a call has ended."""

    call_id: str


class AbandonCall(Struct):
    """Reports that the caller of a call, which may be queued, has disconnected."""

    call_id: str


class EngineLeaving(Struct):
    """Reports that an engine said in an answer to this box that it takes no new work."""

    engine: str
    incarnation: str


class EngineEnded(Query):
    """Reports that an engine ended under one of this box's calls; the reply is EndsCounted.

    The end is counted against the request's `features` that are not `excused`, because they
    succeeded shortly before, and against those that it was on trial for.
    """

    engine: Engine
    workspace: str
    features: tuple[Feature, ...]
    excused: tuple[Feature, ...] = ()
    on_trial: bool = False


class EndsCounted(Struct, frozen=True):
    """The most engines that ended under a feature of a request, as far as this box knows.

    `reports` are sent to the boxes that own the features.
    """

    ends: int = 0
    reports: tuple[EndReport, ...] = ()


class ReceiveEnds(Query):
    """Passes on a peer's reports that an engine ended; the reply is EndReportsReply."""

    reports: tuple[EndReport, ...]


class RequestTrial(Query):
    """Asks this box, as an owner of the request, for a trial; the reply is Permission."""

    trial: TrialRequest


class EndTrial(Struct):
    """Reports that a run of a suspect request has ended."""

    result: TrialResult


class GetStanding(Query):
    """Asks for this box's own verdict on a request to a service; the reply is Permission.

    `features` are the digests of all the request's features.
    """

    features: frozenset[str]
    service: str


class GetCase(Query):
    """Asks for this box's case of one request; the reply is a Case, or None."""

    request: str


class GetCases(Query):
    """Asks for all cases that boxes share; the reply is a tuple of Case."""


class ReceiveCases(Query):
    """Passes on cases received from a peer or from the store."""

    cases: tuple[Case, ...]


class LiftCase(Query):
    """Clears a request for an operator; the reply is whether a case existed."""

    request: str


class UseSettings(Struct):
    """Puts a settings tree into force."""

    tree: Tree


class SetEngines(Struct):
    """Sets the list of engines from the platform, as of `version`.

    A list that is not newer than the one in use is ignored; version 0 always applies.
    """

    engines: list[Engine]
    version: int = 0


class SetBoxes(Struct):
    """Sets the list of boxes from the platform, as of `version`.

    A list that is not newer than the one in use is ignored; version 0 always applies.
    """

    boxes: list[Box]
    version: int = 0


class MergeVersions(Struct):
    """Adds what the store or a peer knows of the software versions of engines."""

    history: VersionHistory


class GetVersionHistory(Query):
    """Requests what this box knows of the software versions; the reply is VersionHistory."""


class SetEvacuations(Struct):
    """Sets the list of evacuated failure domains from the platform, as of `version`.

    A list that is not newer than the one in use is ignored; version 0 always applies.
    """

    evacuations: list[Evacuation]
    version: int = 0


class GetLists(Query):
    """Asks for the lists in use; the reply is FleetLists, with holdings if `holdings` is set."""

    holdings: bool = False


class ReceiveHoldings(Struct):
    """Passes on holdings received from a peer: which engines have read which chats."""

    held: tuple[Holding, ...]


class GetRetriesBefore(Query):
    """Asks what a box spent of its retry budgets before this start; the reply is BoxRetries."""

    box: str
    incarnation: str


class LearnHoldings(Struct):
    """Records which chats an engine has read, as the engine itself reported."""

    engine: str
    chats: list[str]


class GetLearnedHoldings(Query):
    """Asks for all holdings that engines reported to this box."""


class ReceiveDigest(Struct):
    """Passes on a digest received from a peer."""

    digest: Digest


class GetDigests(Query):
    """Asks for the next digest for each of `peers`, with the settings in force here."""

    peers: tuple[str, ...]
    settings_total: int
    settings_fingerprint: int


class DigestsSent(Struct):
    """Reports which digests were sent."""

    digests: tuple[Digest, ...]


class BoxLeaving(Struct):
    """Reports that this box is stopping."""


class RefuseWaiting(Struct):
    """Tells that calls which wait for a slot are to be refused, because this box is stopping."""


class BoxReport(Struct, frozen=True):
    """The state of a peer as this box assumes it."""

    name: str
    phase: Phase
    incarnation: str
    peer_address: str


class EngineReport(Struct, frozen=True):
    """The state of an engine as this box assumes it."""

    name: str
    service: str
    phase: Phase
    requests: int
    tokens: int


class KnowledgeReport(Struct, frozen=True):
    """The age of this box's fleet state, in seconds.

    `store` is the time since the platform last answered any box, `oldest_reading` the
    age of the oldest load reading of an engine; None if there is none.
    """

    store: float | None
    readings: int
    oldest_reading: float | None
    held_chats: int


class CaseReport(Struct, frozen=True):
    """The status entry of a request or prompt part under which engines ended.

    `rest` is in seconds; `part` is '' for a request.
    """

    request: str
    part: str
    workspace: str
    standing: Standing
    engines_ended: int
    rest: float


class DeciderReport(Struct, frozen=True):
    """The decider's state for the status page and for other tasks."""

    in_flight: int
    live_boxes: tuple[str, ...]
    boxes: tuple[BoxReport, ...]
    neighbours: tuple[str, ...]
    engines: tuple[EngineReport, ...]
    counts: dict[str, int]
    knowledge: KnowledgeReport = KnowledgeReport(None, 0, None, 0)
    quarantine: tuple[CaseReport, ...] = ()
    #: Listed neighbours that were silent for longer than it takes to send to all peers.
    missing_boxes: tuple[str, ...] = ()

    @property
    def responsive_boxes(self) -> list[str]:
        """The live boxes that are not missing, including this one."""
        return [name for name in self.live_boxes if name not in self.missing_boxes]


class GetReport(Query):
    """Asks for a DeciderReport."""
