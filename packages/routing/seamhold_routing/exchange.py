"""The digests that one box sends to its peers and applies from them."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable

from msgspec import Struct, field
from msgspec.structs import replace

from seamhold_limits import (
    BrittleEngine,
    BrittleService,
    PeerBacklogs,
    SlotShares,
    WorkspaceLimits,
)
from seamhold_membership import (
    BRITTLE_SECONDS,
    BoxView,
    Digest,
    DigestReceiver,
    DigestSender,
    EngineView,
    Event,
    EventKind,
    EventLog,
)
from seamhold_messages.fleet import Engine, Phase
from seamhold_messages.hashing import hash32
from seamhold_messages.work import (
    BoxRetries,
    FailureReport,
    LoadReading,
    RetryCount,
    SlotDemand,
    SlotReport,
    Suspect,
    WaitingCalls,
    WatcherHeartbeat,
)
from seamhold_placement import HolderTable, LoadTable
from seamhold_placement.speed_trust import SpeedTrust
from seamhold_quarantine import Quarantine

from .beliefs import RECEIVED_SOURCE, SILENCE_SOURCE, Belief, Sign, belief_from_event
from .health import EngineHealth
from .relaying import MAX_UPDATE_AGE_SECONDS, GossipRelay
from .watchers import WatcherSelection

#: Maximum number of events in one digest.
EVENTS_PER_DIGEST = 4
#: A relayed update counts as newer only if it is newer by at least this.  Its age leaves out
#: the time in transit, so an update that circulates would look newer each time it arrives.
MIN_NEWER_SECONDS = 0.05
#: What a box spent of its retry budgets is kept for this long: longer than a budget's window and
#: a restart.
RETRIES_SECONDS = 60.0


class _RetryReport(Struct, frozen=True):
    """What a box said at `at` that it spent of its retry budgets."""

    incarnation: str
    counts: tuple[RetryCount, ...]
    at: float


class Versions(Struct, frozen=True):
    """The versions of a box's settings and lists, and whether it has lost the platform's store."""

    settings_total: int = 0
    settings_fingerprint: int = 0
    engines: int = 0
    boxes: int = 0
    store_lost: bool = False
    evacuations: int = 0


class FleetState(Struct):
    """One box's local state of the fleet, from its own observations and from its peers."""

    boxes: BoxView
    engines: EngineView
    health: EngineHealth
    loads: LoadTable
    holders: HolderTable
    limits: WorkspaceLimits
    slots: SlotShares
    quarantine: Quarantine = field(default_factory=Quarantine)
    #: What the speeds that engines report are worth, by service.
    speed_trust: defaultdict[str, SpeedTrust] = field(
        default_factory=lambda: defaultdict(SpeedTrust)
    )
    events: EventLog = field(default_factory=EventLog)
    counts: Counter[str] = field(default_factory=Counter)
    #: Changes of belief that have not been logged yet.
    beliefs: list[Belief] = field(default_factory=list)
    backlogs: PeerBacklogs = field(default_factory=PeerBacklogs)


def brittle_engine(engine: Engine) -> BrittleEngine:
    """Return what the shares of a brittle engine's slots depend on."""
    return BrittleEngine(
        hash32(engine.service), engine.name, engine.incarnation or engine.name, engine.slots
    )


class PeerExchange:
    """Builds a box's digests from its fleet state and applies its peers' digests to it."""

    def __init__(self, box: str, incarnation: str, state: FleetState):
        self.leaving = False
        self._box = box
        self._incarnation = incarnation
        self._state = state
        self._sender = DigestSender()
        self._receiver = DigestReceiver()
        #: Neighbours that were silent at the last check.
        self._silent: set[str] = set()
        self._relay = GossipRelay()
        self.selection = WatcherSelection(box)
        #: Whether this box watches the platform's store for the fleet and has not lost it.
        self.watching = False
        #: Whether this box's last watch was not answered, and how many were not so far.
        self._watch_unanswered = False
        self._unanswered_watches = 0
        #: What each peer last said that it spent of its retry budgets.
        self._retries: dict[str, _RetryReport] = {}
        #: When the platform last answered any box with its newest state, as far as this box knows.
        self.store_answered_at: float | None = None
        #: When this box last heard that a watch of some box was not answered.
        self.unanswered_at = -math.inf

    # Updates from peers, engines and the platform.

    def receive_digest(self, digest: Digest, now: float) -> None:
        """Apply a digest received from a peer."""
        state = self._state
        if state.boxes.record_message(digest.box, digest.incarnation, now, digest.store_lost):
            self._sender.forget(digest.box)
            state.limits.reset_peer(digest.box)
        self._sender.record_ack(digest.box, digest.ack)
        state.slots.record_contact(digest.box)
        full = self._receiver.receive(digest)
        if full is not None:
            state.loads.set_peer(digest.box, full.loads)
            state.limits.set_peer(digest.box, full.usage, full.ack)
            if state.boxes.get(digest.box) is not None:
                state.backlogs.set_peer(digest.box, full.waiting, now)
            self._receive_slots(full, now)
        if digest.retries:
            self._retries[digest.box] = _RetryReport(digest.incarnation, digest.retries, now)
        self._apply_updates(digest, now)
        if digest.leaving:
            self.record_event(
                Event(EventKind.BOX_LEAVING, digest.box, digest.incarnation, digest.box), now
            )
        for event in digest.events:
            self.record_event(event, now)

    def _receive_slots(self, digest: Digest, now: float) -> None:
        state = self._state
        report = digest.slots
        state.slots.receive(digest.box, digest.incarnation, digest.seq, digest.ack, report)
        if not state.slots.enabled:
            return
        for demand in report.demands if report else ():
            left = min(demand.brittle_seconds, BRITTLE_SECONDS)
            state.engines.mark_service_brittle(demand.service_key, now + left)

    def retries_before(self, box: str, incarnation: str, now: float) -> BoxRetries:
        """Return what a box spent of its retry budgets before it started as `incarnation`."""
        report = self._retries.get(box)
        if report is None or report.incarnation == incarnation:
            return BoxRetries()
        return BoxRetries(report.counts, now - report.at)

    def boxes_listed(self, names: Iterable[str]) -> None:
        """Apply the usage received earlier from boxes that are new on the platform's list.

        Only listed boxes hold shares of limits.  The usage that these boxes sent before they
        were listed counts from now on, because it is acknowledged from now on.
        """
        for name in names:
            latest = self._receiver.latest_state(name)
            if latest is not None:
                self._state.limits.set_peer(name, latest.usage, latest.ack)
                self._state.slots.receive(
                    name, latest.incarnation, latest.seq, latest.ack, latest.slots
                )

    def _apply_updates(self, digest: Digest, now: float) -> None:
        """Apply the updates that a peer relayed, and relay those that are new here."""
        for holding in self._state.holders.record_updates(digest.held, now):
            self._relay.put_holding(holding)
        for reading in digest.readings:
            is_new = self._record_load(reading, now, MIN_NEWER_SECONDS)
            if is_new and reading.slowness is not None:
                self.record_speed(reading.engine, reading.slowness, now - reading.age)
        for report in digest.reports:
            self._receive_failure_report(report, now)
        for heartbeat in digest.watchers:
            self._receive_heartbeat(heartbeat, now)
        if digest.store_age is not None:
            self._receive_store_answer(now - digest.store_age)

    def _receive_heartbeat(self, heartbeat: WatcherHeartbeat, now: float) -> None:
        at = now - heartbeat.age
        if heartbeat.box == self._box or heartbeat.age > MAX_UPDATE_AGE_SECONDS:
            return
        if at > self.selection.last_heartbeat_at(heartbeat.box) + MIN_NEWER_SECONDS:
            self.selection.record_heartbeat(heartbeat.box, at)
            self._relay.put_heartbeat(heartbeat, now)

    def record_unanswered_watch(self, now: float) -> None:
        """Report to all boxes that a watch of this box was not answered; repeats are not sent."""
        if not self.watching or self._watch_unanswered:
            return
        self._watch_unanswered = True
        self._unanswered_watches += 1
        occurrence = f'{self._incarnation}/{self._unanswered_watches}'
        self.record_event(
            Event(EventKind.WATCH_UNANSWERED, self._box, occurrence, self._box), now, Sign.CALL
        )

    def record_own_answer(self) -> None:
        """Record that the store answers this box."""
        self._watch_unanswered = False

    def record_store_answer(self, at: float) -> None:
        """Record that the platform answered this or another box at time `at`."""
        if self.store_answered_at is None or at > self.store_answered_at:
            self.store_answered_at = at

    def _receive_store_answer(self, at: float) -> None:
        """Record an answer that a peer relayed, unless it seems newer by its way alone."""
        if self.store_answered_at is None or at > self.store_answered_at + MIN_NEWER_SECONDS:
            self.store_answered_at = at

    def placed(self, chat: str, engine: str, now: float) -> None:
        """Record that this box sent a call of `chat` to `engine`, which then holds the chat."""
        holding = self._state.holders.record_placement(chat, engine, now)
        if holding is not None:
            self._relay.put_holding(holding)

    def record_engine_load(self, reading: LoadReading, now: float) -> None:
        """Record the load that an engine reported to this box."""
        self._record_load(reading, now, newer_by=0.0)

    def _record_load(self, reading: LoadReading, now: float, newer_by: float) -> bool:
        if self._state.loads.apply_reading(reading, now, newer_by):
            self._relay.put_reading(reading, now)
            return True
        return False

    def record_speed(self, name: str, slowness: float, at: float) -> None:
        """Compare a speed that an engine reported at time `at` with its earlier ones."""
        engine = self._state.engines.get(name)
        if engine is not None:
            self._state.speed_trust[engine.service].record_report(name, slowness, at)

    def _receive_failure_report(self, report: FailureReport, now: float) -> None:
        state = self._state
        if report.origin == self._box or not state.health.record_report(report, now):
            return
        self._relay.put_report(report, now)
        if not report.incarnation_key:
            return
        suspect = Suspect(report.engine, report.incarnation_key)
        if state.engines.record_peer_suspicion(suspect, report.origin, now):
            state.beliefs.append(Belief(suspect.engine, Phase.SUSPECT, report.origin, Sign.TOLD))

    def record_event(self, event: Event, now: float, sign: Sign = Sign.TOLD) -> None:
        """Apply an event that this box observed or a peer reported, and relay it."""
        state = self._state
        if not state.events.add(event, len(state.boxes.peers()) + 1):
            return
        state.counts[f'event.{event.kind.name.lower()}'] += 1
        belief = belief_from_event(event, sign)
        if belief is not None:
            state.beliefs.append(belief)
        if event.kind is EventKind.ENGINE_LEAVING:
            state.engines.mark_leaving(event.subject, event.incarnation, now)
        elif event.kind is EventKind.BOX_LEAVING:
            state.boxes.mark_leaving(event.subject, event.incarnation)
        elif event.kind is EventKind.BOX_GONE:
            state.boxes.record_gone_report(event.subject, event.origin, now)
        elif event.kind is EventKind.WATCH_UNANSWERED:
            self.selection.record_unanswered(event.subject, now)
            self.unanswered_at = now

    def forget_silent(self, now: float) -> None:
        """Drop what silent neighbours reported, and report them gone to other boxes if needed."""
        for name in [name for name, one in self._retries.items() if now > one.at + RETRIES_SECONDS]:
            del self._retries[name]
        silent = self._state.boxes.silent(now)
        self._record_silence(set(silent))
        for name in silent:
            self._report_gone(name, now)
            self._state.loads.drop_peer(name)
            self._state.backlogs.drop_peer(name)
            self._receiver.forget(name)
            self._sender.forget(name)

    def _record_silence(self, silent: set[str]) -> None:
        beliefs = self._state.beliefs
        for name in sorted(silent - self._silent):
            beliefs.append(Belief(name, Phase.GONE, SILENCE_SOURCE, Sign.SILENCE))
        for name in sorted(self._silent - silent):
            if self._state.boxes.get(name) is not None:
                beliefs.append(Belief(name, Phase.LIVE, RECEIVED_SOURCE, Sign.SILENCE))
        self._silent = silent

    def _report_gone(self, name: str, now: float) -> None:
        """Report a silent neighbour to boxes that are not its neighbours themselves."""
        if self._state.boxes.all_are_neighbours:
            return
        box = self._state.boxes.get(name)
        if box is not None and box.incarnation:
            gone = Event(EventKind.BOX_GONE, name, box.incarnation, self._box)
            self.record_event(gone, now, Sign.SILENCE)

    # Digests to peers.

    def digests_for(
        self,
        peers: Iterable[str],
        versions: Versions,
        now: float,
        retries: tuple[RetryCount, ...] = (),
        waiting: tuple[WaitingCalls, ...] = (),
    ) -> list[Digest]:
        """Return the next digest for each of `peers`, in their order."""
        state = self._state
        full = Digest(
            self._box,
            self._incarnation,
            leaving=self.leaving,
            loads=state.loads.own_loads(),
            usage=state.limits.usage(now),
            settings_total=versions.settings_total,
            settings_fingerprint=versions.settings_fingerprint,
            events=state.events.pending(EVENTS_PER_DIGEST),
            engines_version=versions.engines,
            boxes_version=versions.boxes,
            evacuations_version=versions.evacuations,
            store_lost=versions.store_lost,
            learned=len(state.holders.learned),
            cases_fingerprint=state.quarantine.fingerprint,
            retries=retries,
            waiting=waiting,
            store_age=None if self.store_answered_at is None else now - self.store_answered_at,
        )
        if self.watching and not self._watch_unanswered:
            self._relay.put_heartbeat(WatcherHeartbeat(self._box), now)
        for report in state.health.new_reports(self._box, now):
            self._relay.put_report(report, now)
        demands = self._slot_demands(now)
        return [self._digest_for(peer, full, demands, now) for peer in peers]

    def _slot_demands(self, now: float) -> tuple[SlotDemand, ...]:
        """Return this box's demand at the services that are brittle now."""
        state = self._state
        if not state.slots.enabled:
            return ()
        services: dict[int, BrittleService] = {}
        held: list[tuple[BrittleEngine, int]] = []
        for service, seconds in state.engines.brittle_services(now).items():
            names = state.engines.of_service(service)
            engines = [brittle_engine(state.engines.get(name)) for name in names]
            slots = sum(engine.slots for engine in engines)
            services[hash32(service)] = BrittleService(seconds, slots)
            held += [(engine, state.loads.own_calls(engine.name)) for engine in engines]
        return state.slots.reports(services, held, now)

    def _slot_report(self, peer: str, demands: tuple[SlotDemand, ...]) -> SlotReport | None:
        """Return the report for a peer, None if no service is brittle.

        To a peer that is not listed, and for which the shares leave no room, it names no start.
        """
        if not demands:
            return None
        listed = self._state.boxes.get(peer) is not None
        latest = self._receiver.latest_state(peer) if listed else None
        return SlotReport(hash32(latest.incarnation) if latest else 0, demands)

    def _digest_for(
        self, peer: str, full: Digest, demands: tuple[SlotDemand, ...], now: float
    ) -> Digest:
        message = self._sender.next_for(peer, full, self._receiver.last_seq(peer))
        # Counted as sent even if it is not, which only delays a change of limit shares.
        self._state.limits.digest_sent(peer, message.seq, full.usage)
        report = self._slot_report(peer, demands)
        self._state.slots.report_sent(peer, message.seq, report)
        return self._relay.attach_to(replace(message, slots=report), now)

    def digests_sent(self, digests: Iterable[Digest]) -> None:
        """Record that digests were sent."""
        self._state.loads.digest_sent()
        for digest in digests:
            self._state.events.record_relayed(digest.events)
