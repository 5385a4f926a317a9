"""The task that owns the routing state of a box.

Request threads send it calls and get a placement, immediately unless the call is queued.
No other code changes the routing state.
"""

import math
import threading
from collections.abc import Callable, Mapping
from concurrent.futures import Future

from seamhold_attempts.retry import REFUSALS, Outcome
from seamhold_membership import (
    REST_MAX_SECONDS,
    Digest,
    ServiceUse,
    ServiceVersions,
    changed_versions,
)
from seamhold_messages.errors import CallerLeft
from seamhold_messages.fleet import Box, Engine, Evacuation
from seamhold_messages.work import BoxRetries, Decision, Queued, Refused, RetryCount
from seamhold_peers import FleetLists
from seamhold_platform import ObjectKind
from seamhold_routing import Router, Versions

from .case_handlers import CaseHandlers
from .decisions import (
    AbandonCall,
    Admit,
    AnswerStarted,
    AttemptEnded,
    BoxLeaving,
    BoxReport,
    CallClosed,
    DeciderReport,
    DigestsSent,
    EngineBrittle,
    EngineLeaving,
    EngineLoadReported,
    EngineReport,
    EngineResting,
    GetDigests,
    GetLearnedHoldings,
    GetLists,
    GetReport,
    GetRetriesBefore,
    GetVersionHistory,
    KnowledgeReport,
    LearnHoldings,
    MergeVersions,
    ReceiveDigest,
    ReceiveHoldings,
    RefuseWaiting,
    RetryCall,
    SetBoxes,
    SetEngines,
    SetEvacuations,
    StoreAnswered,
    UseSettings,
    WatchUnanswered,
)
from .listed import ListInUse
from .store_wanted import StoreWanted
from .tasks import SerialTask

#: Interval between checks of the routing state, in seconds.  The shortest silence that
#: has an effect is one second.
CHECK_SECONDS = 0.5
#: Minimum time between two checks, in seconds.
MIN_CHECK_SECONDS = 0.005


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
        #: The lists from the platform that are in use.
        self.engines: ListInUse[Engine] = ListInUse()
        self.boxes: ListInUse[Box] = ListInUse()
        self.evacuations: ListInUse[Evacuation] = ListInUse()
        if not follows_evacuations:
            self.evacuations.loaded.set()
        #: Set unless this box still has to read the history of versions.
        self.versions_loaded = threading.Event()
        self.versions_loaded.set()
        self._events_accepted = 0
        #: Whether this box watches the platform's store.
        self.watches_store = True
        self.watch_turn = router.watch_turn
        self._store_lost = False
        self._lagging: frozenset[ObjectKind] = frozenset()
        #: Wanted while this box watches the store, has lost it and must reconnect, or lags behind.
        self.store_wanted = StoreWanted()
        self._store_wanted_lock = threading.Lock()
        #: Called when there is an update that peers should receive immediately.
        self.on_update: Callable[[], None] | None = None
        #: Called with the services that got a second software version.
        self.on_mixed_versions: Callable[[frozenset[str]], None] | None = None
        #: Called after a software version came to the list of engines, or left it.
        self.on_listed_versions: Callable[[], None] | None = None
        #: Called with the engines, as listed before, whose version changed under their id.
        self.on_changed_versions: Callable[[frozenset[str]], None] | None = None
        #: Called with each new list of boxes, whether from the store or from a peer.
        self.on_boxes: Callable[[list[Box]], None] | None = None
        #: Called with each check: how many engines of each service are in use.
        self.on_engine_uses: Callable[[list[ServiceUse]], None] | None = None
        self._next_use_report = 0.0
        #: Called with the router's counters after each report of the engines' use.
        self.on_counts: Callable[[Mapping[str, int]], None] | None = None
        #: When this box itself last connected to an engine; set by the task that connects.
        self.engine_reached_at = math.inf
        #: Returns what this box spent of its retry budgets.
        self.retry_counts: Callable[[], tuple[RetryCount, ...]] = tuple
        self.handlers = {
            Admit: self._admit,
            RetryCall: self._retry_call,
            AnswerStarted: lambda message: self._router.answer_started(
                message.call_id, self._clock()
            ),
            AttemptEnded: self._attempt_ended,
            CallClosed: self._call_closed,
            AbandonCall: self._abandon_call,
            EngineLoadReported: self._engine_load_reported,
            StoreAnswered: self._store_answered,
            WatchUnanswered: self._watch_unanswered,
            EngineLeaving: self._engine_leaving,
            EngineResting: self._engine_resting,
            EngineBrittle: self._engine_brittle,
            UseSettings: self._use_settings,
            SetEngines: self._set_engines,
            SetBoxes: self._set_boxes,
            SetEvacuations: self._set_evacuations,
            MergeVersions: self._merge_versions,
            GetVersionHistory: lambda _: self.versions.history(self._clock()),
            GetLists: self._get_lists,
            GetRetriesBefore: self._get_retries_before,
            ReceiveHoldings: self._receive_holdings,
            LearnHoldings: self._learn_holdings,
            GetLearnedHoldings: lambda _: self._router.holders.learned,
            ReceiveDigest: self._receive_digest,
            GetDigests: self._get_digests,
            DigestsSent: self._digests_sent,
            BoxLeaving: self._box_leaving,
            RefuseWaiting: lambda _: self._deliver(self._router.refuse_waiting(self._clock())),
            GetReport: self._get_report,
        }
        self.cases = CaseHandlers(router, clock, self.log, self._cases_changed)
        self.handlers |= self.cases.handlers

    def next_timeout(self) -> float:
        """Return the seconds until the passing of time may change the routing state."""
        now = self._clock()
        return max(0.0, min(self._next_tick, self._router.next_due(now)) - now)

    def on_timeout(self) -> None:
        """Advance the routing state to the current time."""
        now = self._clock()
        self._next_tick = now + CHECK_SECONDS
        self._set_watch_role(self._router.watches_store(now))
        self.watch_turn = self._router.watch_turn
        self._router.store_lost = self.store_lost
        if self._router.begins_look(now):
            self.store_wanted.begin_look()
            self.log.info('store.look', look=self.store_wanted.look)
        decisions = self._router.tick(now)
        self._report_engine_uses(now)
        due = min(now + CHECK_SECONDS, self._router.next_due(now))
        self._next_tick = max(now + MIN_CHECK_SECONDS, due)
        self._deliver(decisions)

    @property
    def store_lost(self) -> bool:
        """Whether this box has lost the platform's store; set by the task that watches it."""
        return self._store_lost

    @store_lost.setter
    def store_lost(self, lost: bool) -> None:
        self._store_lost = lost
        self._update_store_wanted()

    @property
    def lagging(self) -> frozenset[ObjectKind]:
        """What this box must read from the store itself, because it does not get it from peers."""
        return self._lagging

    @lagging.setter
    def lagging(self, kinds: frozenset[ObjectKind]) -> None:
        self._lagging = kinds
        self._update_store_wanted()

    @property
    def versions(self) -> ServiceVersions:
        """The software versions of each service; any thread may read them."""
        return self._router.versions

    def takes_work(self, engine: str, incarnation: str) -> bool:
        """Whether an engine may get work, as known now; safe to call on any thread."""
        return self._router.engines.takes_work(engine, incarnation, self._clock())

    def _update_store_wanted(self) -> None:
        # Three threads call this: the event must show what the last of them changed.
        with self._store_wanted_lock:
            self.store_wanted.set(self.watches_store or self._store_lost or bool(self._lagging))

    def _notify_peers(self) -> None:
        if self.on_update is not None:
            self.on_update()

    def _cases_changed(self) -> None:
        """Notify peers of changed cases, and log events and changed beliefs.

        An engine's end may also have changed what the box assumes about the engine.
        """
        self._log_events()
        self._notify_peers()

    def _deliver(self, decisions: list[Decision]) -> None:
        now = self._clock()
        self._log_events()
        for decision in decisions:
            if isinstance(decision, Queued):
                continue
            reply = self._replies.pop(decision.call_id, None)
            if reply is not None:
                reply.set_result(decision)
        if now >= self._next_tick:
            self.on_timeout()

    def _report_engine_uses(self, now: float) -> None:
        if self.on_engine_uses is not None and now >= self._next_use_report:
            self._next_use_report = now + CHECK_SECONDS
            self.on_engine_uses(self._router.engine_uses(now))
            if self.on_counts is not None:
                self.on_counts(self._router.counts)

    def _set_watch_role(self, watches: bool) -> None:
        if watches != self.watches_store:
            self.watches_store = watches
            self._update_store_wanted()
            self.log.info('watch_role.changed', watches=watches)

    def _log_events(self) -> None:
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
        accepted = self._router.events.accepted
        if accepted != self._events_accepted:
            self._events_accepted = accepted
            self._notify_peers()
            # An event may make this box a watcher of the store.
            self._next_tick = 0.0

    def _admit(self, message: Admit) -> Admit:
        # _deliver sets the reply, now or when the call leaves the queue.
        self._replies[message.call.id] = message.reply
        self._deliver(self._router.admit(message.call, self._clock()))
        return message

    def _retry_call(self, message: RetryCall) -> RetryCall:
        now = self._clock()
        decisions = self._router.attempt_ended(message.call_id, message.outcome, now)
        self._router.exclude(message.call_id, message.failed_engine)
        if message.version is not None:
            self._router.bind_version(message.call_id, message.version)
        self._replies[message.call_id] = message.reply
        full_engine = message.failed_engine if message.outcome in REFUSALS else ''
        is_answer = message.outcome is Outcome.ANSWERED_FAILURE
        answering_engine = message.failed_engine if is_answer else ''
        self._deliver(
            decisions + self._router.retry_call(message.call_id, now, full_engine, answering_engine)
        )
        return message

    def _attempt_ended(self, message: AttemptEnded) -> None:
        self._deliver(self._router.attempt_ended(message.call_id, message.outcome, self._clock()))

    def _call_closed(self, message: CallClosed) -> None:
        self._replies.pop(message.call_id, None)
        self._deliver(self._router.close(message.call_id, self._clock()))

    def _abandon_call(self, message: AbandonCall) -> None:
        reply = self._replies.pop(message.call_id, None)
        if reply is not None:
            self._deliver(self._router.close(message.call_id, self._clock()))
            reply.set_result(
                Refused(message.call_id, CallerLeft.code, 'the caller closed its connection')
            )

    def _store_answered(self, message: StoreAnswered) -> None:
        now = self._clock()
        in_doubt = self._router.store_in_doubt(now)
        self._router.store_answered(now, message.is_fresh)
        if in_doubt and message.is_fresh:
            # Other boxes are about to read the store, too.
            self._notify_peers()

    def _watch_unanswered(self, _: WatchUnanswered) -> None:
        self._router.watch_unanswered(self._clock())
        self._log_events()

    def _engine_leaving(self, message: EngineLeaving) -> None:
        self._router.engine_leaving(message.engine, message.incarnation, self._clock())
        self._log_events()

    def _engine_resting(self, message: EngineResting) -> None:
        if message.seconds > REST_MAX_SECONDS:
            self.log.warning(
                'retry_after.limited',
                engine=message.engine,
                seconds=message.seconds,
                used=REST_MAX_SECONDS,
            )
        self._router.engine_resting(message.engine, message.seconds, self._clock())

    def _engine_brittle(self, message: EngineBrittle) -> None:
        self._router.engine_brittle(message.engine, message.brittle, self._clock())
        self.log.info('engine.brittle', engine=message.engine, brittle=message.brittle)

    def _engine_load_reported(self, message: EngineLoadReported) -> None:
        now = self._clock()
        self._router.record_engine_load(
            message.engine, message.requests, message.sent_at, now, message.slowness
        )

    def _use_settings(self, message: UseSettings) -> None:
        self._router.use_settings(message.tree)
        self._notify_peers()

    def _set_engines(self, message: SetEngines) -> None:
        if not self.engines.is_update(message.version):
            return
        mixed_before = self.versions.mixed
        changes_before = self.versions.changes
        changed = changed_versions(self.engines.items or [], message.engines)
        decisions = self._router.set_engines(message.engines, self._clock())
        self.engines.put(message.engines, message.version)
        self._report_mixed(mixed_before)
        if self.versions.changes > changes_before and self.on_listed_versions is not None:
            self.on_listed_versions()
        if changed and self.on_changed_versions is not None:
            self.on_changed_versions(changed)
        self._notify_peers()
        self._deliver(decisions)

    def _merge_versions(self, message: MergeVersions) -> None:
        mixed_before = self.versions.mixed
        self.versions.merge(message.history, self._clock())
        self._report_mixed(mixed_before)

    def _report_mixed(self, mixed_before: frozenset[str]) -> None:
        newly_mixed = self.versions.mixed - mixed_before
        if newly_mixed and self.on_mixed_versions is not None:
            self.on_mixed_versions(newly_mixed)

    def _set_boxes(self, message: SetBoxes) -> None:
        if not self.boxes.is_update(message.version):
            return
        self._router.set_boxes(message.boxes, self._clock())
        self.boxes.put(message.boxes, message.version)
        self._notify_peers()
        if self.on_boxes is not None:
            self.on_boxes(message.boxes)

    def _set_evacuations(self, message: SetEvacuations) -> None:
        if not self.evacuations.is_update(message.version):
            return
        decisions = self._router.set_evacuations(message.evacuations, self._clock())
        self.evacuations.put(message.evacuations, message.version)
        self._notify_peers()
        self._deliver(decisions)

    def _receive_holdings(self, message: ReceiveHoldings) -> None:
        self._router.holders.record_holdings(message.held, self._clock())

    def _learn_holdings(self, message: LearnHoldings) -> None:
        self._router.holders.learn(message.engine, message.chats, self._clock())
        # Boxes that started at the same time wait for these holdings.
        self._notify_peers()

    def _get_lists(self, message: GetLists) -> FleetLists:
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

    def _get_retries_before(self, message: GetRetriesBefore) -> BoxRetries:
        now = self._clock()
        return self._router.exchange.retries_before(message.box, message.incarnation, now)

    def _receive_digest(self, message: ReceiveDigest) -> None:
        self._deliver(self._router.receive_digest(message.digest, self._clock()))

    def _get_digests(self, message: GetDigests) -> list[Digest]:
        self._router.health.reached_at = self.engine_reached_at
        versions = Versions(
            message.settings_total,
            message.settings_fingerprint,
            self.engines.version,
            self.boxes.version,
            self.store_lost,
            self.evacuations.version,
        )
        return self._router.digests_for(message.peers, versions, self._clock(), self.retry_counts())

    def _digests_sent(self, message: DigestsSent) -> None:
        self._router.digests_sent(message.digests)

    def _box_leaving(self, message: BoxLeaving) -> None:
        self._router.leave()

    def _get_report(self, message: GetReport) -> DeciderReport:
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
            self._state_report(now),
            self.cases.reports(now),
            tuple(router.missing_boxes(now)),
        )

    def _state_report(self, now: float) -> KnowledgeReport:
        answered_at = self._router.exchange.store_answered_at
        ages = self._router.loads.reading_ages(now)
        return KnowledgeReport(
            None if answered_at is None else round(now - answered_at, 3),
            len(ages),
            round(max(ages), 3) if ages else None,
            len(self._router.holders),
        )
