"""The task that owns the box's decisions.

Request threads ask it for a place and get the answer, at once unless the call
has to wait; nothing else touches the routing state.
"""

import threading
from collections.abc import Callable
from concurrent.futures import Future

from seamhold_attempts.retry import REFUSALS
from seamhold_membership import Digest, ServiceUse
from seamhold_messages.errors import CallerLeft
from seamhold_messages.fleet import Box, Engine, Evacuation
from seamhold_messages.work import Decision, Queued, Refused
from seamhold_peers import FleetLists
from seamhold_routing import Router, Versions

from .case_keeper import CaseKeeper
from .decisions import (
    Abandon,
    Admit,
    Again,
    Attempted,
    Began,
    BoxReport,
    Closed,
    DeciderReport,
    DigestsSent,
    EngineLeaving,
    EngineReport,
    EngineTold,
    Hear,
    HearHoldings,
    KnowledgeReport,
    LearnHoldings,
    Leaving,
    SetBoxes,
    SetEngines,
    SetEvacuations,
    StoreAnswered,
    UseSettings,
    WantDigests,
    WantLearned,
    WantLists,
    WantReport,
)
from .listed import ListInUse
from .tasks import SerialTask

#: How often what others say or do not say is looked at, in seconds: the shortest
#: silence that counts is a second.
LOOK_SECONDS = 0.5
#: The least time between two looks, in seconds.
LOOK_MIN_SECONDS = 0.005


class Decider(SerialTask):
    """Owns the routing state of this box."""

    name = 'decider'

    def __init__(
        self, router: Router, clock: Callable[[], float], follows_evacuations: bool = False
    ):
        super().__init__()
        self._router = router
        self._clock = clock
        self._replies: dict[str, Future] = {}
        self._next_tick = 0.0
        #: The platform's lists in use.
        self.engines: ListInUse[Engine] = ListInUse()
        self.boxes: ListInUse[Box] = ListInUse()
        self.evacuations: ListInUse[Evacuation] = ListInUse()
        if not follows_evacuations:
            self.evacuations.known.set()
        self._events_taken = 0
        #: Whether this box is one that watches the platform's store.
        self.follows_store = True
        self._store_lost = False
        #: Set while this box follows the store or has to win it back.
        self.store_wanted = threading.Event()
        self.store_wanted.set()
        #: Told when there is something that peers should hear at once.
        self.on_news: Callable[[], None] | None = None
        #: Told of each new list of boxes, wherever it comes from.
        self.on_boxes: Callable[[list[Box]], None] | None = None
        #: Told with each look how many engines of each service are in use.
        self.on_engine_uses: Callable[[list[ServiceUse]], None] | None = None
        self._next_uses = 0.0
        self.handlers = {
            Admit: self._admit,
            Again: self._again,
            Began: lambda message: self._router.answer_started(message.call_id, self._clock()),
            Attempted: self._attempted,
            Closed: self._closed,
            Abandon: self._abandon,
            EngineTold: self._engine_told,
            StoreAnswered: lambda _: self._router.store_answered(self._clock()),
            EngineLeaving: self._engine_leaving,
            UseSettings: self._use_settings,
            SetEngines: self._set_engines,
            SetBoxes: self._set_boxes,
            SetEvacuations: self._set_evacuations,
            WantLists: self._lists,
            HearHoldings: self._hear_holdings,
            LearnHoldings: self._learn_holdings,
            WantLearned: lambda _: self._router.holders.learned,
            Hear: self._hear,
            WantDigests: self._digests,
            DigestsSent: self._digests_sent,
            Leaving: self._leaving,
            WantReport: self._report,
        }
        self.cases = CaseKeeper(router, clock, self.log, self._tell_cases)
        self.handlers |= self.cases.handlers

    def patience(self) -> float:
        """Seconds until time alone may change something."""
        now = self._clock()
        return max(0.0, min(self._next_tick, self._router.next_due(now)) - now)

    def idle(self) -> None:
        """Let time pass in the routing state."""
        now = self._clock()
        self._next_tick = now + LOOK_SECONDS
        self._note_role(self._router.watches_store(now))
        self._router.store_lost = self.store_lost
        decisions = self._router.tick(now)
        self._tell_uses(now)
        due = min(now + LOOK_SECONDS, self._router.next_due(now))
        self._next_tick = max(now + LOOK_MIN_SECONDS, due)
        self._deliver(decisions)

    @property
    def store_lost(self) -> bool:
        """Whether the platform does not serve this box, as the task that watches found."""
        return self._store_lost

    @store_lost.setter
    def store_lost(self, lost: bool) -> None:
        self._store_lost = lost
        self._want_store()

    def _want_store(self) -> None:
        if self.follows_store or self._store_lost:
            self.store_wanted.set()
        else:
            self.store_wanted.clear()

    def _tell_news(self) -> None:
        if self.on_news is not None:
            self.on_news()

    def _tell_cases(self) -> None:
        """More is known of requests that end engines: it may be engines' word, too."""
        self._note_events()
        self._tell_news()

    def _deliver(self, decisions: list[Decision]) -> None:
        now = self._clock()
        self._note_events()
        for decision in decisions:
            if isinstance(decision, Queued):
                continue
            reply = self._replies.pop(decision.call_id, None)
            if reply is not None:
                reply.set_result(decision)
        if now >= self._next_tick:
            self.idle()

    def _tell_uses(self, now: float) -> None:
        if self.on_engine_uses is not None and now >= self._next_uses:
            self._next_uses = now + LOOK_SECONDS
            self.on_engine_uses(self._router.engine_uses(now))

    def _note_role(self, follows: bool) -> None:
        if follows != self.follows_store:
            self.follows_store = follows
            self._want_store()
            self.log.info('watch_role.changed', watches=follows)

    def _note_events(self) -> None:
        for belief in self._router.take_beliefs():
            engine = self._router.engines.get(belief.subject)
            self.log.info(
                'belief.changed',
                subject=belief.subject,
                phase=belief.phase,
                source=belief.source,
                sign=belief.sign,
                listed=engine.phase if engine else None,
            )
        taken = self._router.events.accepted
        if taken != self._events_taken:
            self._events_taken = taken
            self._tell_news()

    def _admit(self, message: Admit) -> Admit:
        # Answered by _deliver, now or when the call has waited.
        self._replies[message.call.id] = message.reply
        self._deliver(self._router.admit(message.call, self._clock()))
        return message

    def _again(self, message: Again) -> Again:
        now = self._clock()
        decisions = self._router.attempt_ended(message.call_id, message.outcome, now)
        self._router.exclude(message.call_id, message.failed_engine)
        self._replies[message.call_id] = message.reply
        full_engine = message.failed_engine if message.outcome in REFUSALS else ''
        self._deliver(decisions + self._router.retry_call(message.call_id, now, full_engine))
        return message

    def _attempted(self, message: Attempted) -> None:
        self._deliver(self._router.attempt_ended(message.call_id, message.outcome, self._clock()))

    def _closed(self, message: Closed) -> None:
        self._replies.pop(message.call_id, None)
        self._deliver(self._router.close(message.call_id, self._clock()))

    def _abandon(self, message: Abandon) -> None:
        reply = self._replies.pop(message.call_id, None)
        if reply is not None:
            self._deliver(self._router.close(message.call_id, self._clock()))
            reply.set_result(Refused(message.call_id, CallerLeft.code, 'the caller left'))

    def _engine_leaving(self, message: EngineLeaving) -> None:
        self._router.engine_leaving(message.engine, self._clock())
        self._note_events()

    def _engine_told(self, message: EngineTold) -> None:
        now = self._clock()
        self._router.record_engine_load(message.engine, message.requests, message.sent_at, now)

    def _use_settings(self, message: UseSettings) -> None:
        self._router.use_settings(message.tree)
        self._tell_news()

    def _set_engines(self, message: SetEngines) -> None:
        if not self.engines.is_news(message.version):
            return
        decisions = self._router.set_engines(message.engines, self._clock())
        self.engines.put(message.engines, message.version)
        self._tell_news()
        self._deliver(decisions)

    def _set_boxes(self, message: SetBoxes) -> None:
        if not self.boxes.is_news(message.version):
            return
        self._router.set_boxes(message.boxes, self._clock())
        self.boxes.put(message.boxes, message.version)
        self._tell_news()
        if self.on_boxes is not None:
            self.on_boxes(message.boxes)

    def _set_evacuations(self, message: SetEvacuations) -> None:
        if not self.evacuations.is_news(message.version):
            return
        decisions = self._router.set_evacuations(message.evacuations, self._clock())
        self.evacuations.put(message.evacuations, message.version)
        self._tell_news()
        self._deliver(decisions)

    def _hear_holdings(self, message: HearHoldings) -> None:
        self._router.holders.record_holdings(message.held, self._clock())

    def _learn_holdings(self, message: LearnHoldings) -> None:
        self._router.holders.learn(message.engine, message.chats, self._clock())
        # Boxes that started together wait for it.
        self._tell_news()

    def _lists(self, message: WantLists) -> FleetLists:
        held = self._router.holders.current_holdings(self._clock()) if message.holdings else ()
        return FleetLists(
            self.engines.items or [],
            self.boxes.items or [],
            self.engines.version,
            self.boxes.version,
            held,
            evacuations=tuple(self.evacuations.items or ()),
            evacuations_version=self.evacuations.version,
        )

    def _hear(self, message: Hear) -> None:
        self._deliver(self._router.receive_digest(message.digest, self._clock()))

    def _digests(self, message: WantDigests) -> list[Digest]:
        versions = Versions(
            message.settings_total,
            message.settings_print,
            self.engines.version,
            self.boxes.version,
            self.store_lost,
            self.evacuations.version,
        )
        return self._router.digests_for(message.peers, versions, self._clock())

    def _digests_sent(self, message: DigestsSent) -> None:
        self._router.digests_sent(message.digests)

    def _leaving(self, message: Leaving) -> None:
        self._router.leave()

    def _report(self, message: WantReport) -> DeciderReport:
        now = self._clock()
        router = self._router
        boxes = tuple(
            BoxReport(
                box.name, router.boxes.phase(box.name, now), box.incarnation, box.peer_address
            )
            for box in router.boxes.peers()
        )
        engines = []
        for engine in router.engines.all(now):
            load = router.loads.estimate(engine.name)
            engines.append(
                EngineReport(engine.name, engine.service, engine.phase, load.requests, load.tokens)
            )
        live = tuple(router.boxes.live(now))
        return DeciderReport(
            router.in_flight,
            live,
            boxes,
            tuple(box.name for box in router.boxes.neighbours()),
            tuple(engines),
            dict(sorted(router.counts.items())),
            self._knowledge(now),
            self.cases.reports(now),
            tuple(router.missing_boxes(now)),
        )

    def _knowledge(self, now: float) -> KnowledgeReport:
        seen_at = self._router.exchange.store_answered_at
        ages = self._router.loads.reading_ages(now)
        return KnowledgeReport(
            None if seen_at is None else round(now - seen_at, 3),
            len(ages),
            round(max(ages), 3) if ages else None,
            len(self._router.holders),
        )
