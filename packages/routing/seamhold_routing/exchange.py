"""What one box tells its peers, and what it takes from what they tell."""

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct, field

from seamhold_limits import WorkspaceLimits
from seamhold_membership import (
    BoxView,
    Digest,
    DigestReceiver,
    DigestSender,
    EngineView,
    Event,
    EventKind,
    EventLog,
)
from seamhold_messages.fleet import Phase
from seamhold_messages.work import FailureReport, LoadReading, Suspect, WatcherHeartbeat
from seamhold_placement import HolderTable, LoadTable
from seamhold_quarantine import Quarantine

from .beliefs import HEARD_SOURCE, SILENCE_SOURCE, Belief, Sign, belief_from
from .health import EngineHealth
from .relaying import NEWS_SECONDS, Relaying
from .watchers import WatcherSelection

#: Events that one digest carries at most.
EVENTS_PER_DIGEST = 4
#: Word that was passed on is newer if it is by so much, in seconds: its age does not
#: count the time on its way, and one that went round would look ever newer.
NEWER_SECONDS = 0.05


class Versions(Struct, frozen=True):
    """Which settings and lists a box has, and whether the platform serves it."""

    settings_total: int = 0
    settings_print: int = 0
    engines: int = 0
    boxes: int = 0
    store_lost: bool = False
    evacuations: int = 0


class Knowledge(Struct):
    """What one box knows of the fleet, by itself and from its peers."""

    boxes: BoxView
    engines: EngineView
    health: EngineHealth
    loads: LoadTable
    holders: HolderTable
    limits: WorkspaceLimits
    quarantine: Quarantine = field(default_factory=Quarantine)
    events: EventLog = field(default_factory=EventLog)
    counts: Counter[str] = field(default_factory=Counter)
    #: Changes of belief since they were last taken, for the logs.
    beliefs: list[Belief] = field(default_factory=list)


class PeerExchange:
    """Makes a box's digests out of what it knows, and adds what peers tell to it."""

    def __init__(self, box: str, incarnation: str, known: Knowledge):
        self.leaving = False
        self._box = box
        self._incarnation = incarnation
        self._known = known
        self._sender = DigestSender()
        self._receiver = DigestReceiver()
        #: Neighbours that were silent at the last look.
        self._silent: set[str] = set()
        self._relaying = Relaying()
        self.selection = WatcherSelection(box)
        #: Whether this box watches the platform's store for all, and is served.
        self.watching = False
        #: When the platform last answered any box, as far as that was told.
        self.store_seen_at: float | None = None

    # What peers tell.

    def hear(self, digest: Digest, now: float) -> None:
        """A peer told its state."""
        known = self._known
        if known.boxes.record_message(digest.box, digest.incarnation, now, digest.store_lost):
            self._sender.forget(digest.box)
            known.limits.reset_peer(digest.box)
        self._sender.record_ack(digest.box, digest.ack)
        whole = self._receiver.receive(digest)
        if whole is not None:
            known.loads.set_peer(digest.box, whole.loads)
            known.limits.set_peer(digest.box, whole.usage, whole.ack)
        self._take_news(digest, now)
        if digest.leaving:
            self.note(Event(EventKind.BOX_LEAVING, digest.box, digest.incarnation, digest.box), now)
        for event in digest.events:
            self.note(event, now)

    def boxes_listed(self, names: Iterable[str]) -> None:
        """Boxes came on the platform's list.

        Only listed boxes hold shares of limits: what was heard of these before counts from
        now on, since it is acknowledged from now on.
        """
        for name in names:
            heard = self._receiver.latest_state(name)
            if heard is not None:
                self._known.limits.set_peer(name, heard.usage, heard.ack)

    def _take_news(self, digest: Digest, now: float) -> None:
        """Believe what the peer passed on, and pass on what is new here."""
        for holding in self._known.holders.record_updates(digest.held, now):
            self._relaying.put_holding(holding)
        for reading in digest.readings:
            self._note_load(reading, now, NEWER_SECONDS)
        for report in digest.reports:
            self._hear_of_failures(report, now)
        for heartbeat in digest.watchers:
            self._hear_of_watcher(heartbeat, now)
        if digest.store_age is not None:
            self.store_seen(now - digest.store_age)

    def _hear_of_watcher(self, heartbeat: WatcherHeartbeat, now: float) -> None:
        at = now - heartbeat.age
        if heartbeat.box == self._box or heartbeat.age > NEWS_SECONDS:
            return
        if at > self.selection.heard_at(heartbeat.box) + NEWER_SECONDS:
            self.selection.heard(heartbeat.box, at)
            self._relaying.put_heartbeat(heartbeat, now)

    def store_seen(self, at: float) -> None:
        """The platform answered some box then."""
        if self.store_seen_at is None or at > self.store_seen_at:
            self.store_seen_at = at

    def placed(self, chat: str, engine: str, now: float) -> None:
        """This box sent a call of `chat` to `engine`, which reads it."""
        holding = self._known.holders.record_placement(chat, engine, now)
        if holding is not None:
            self._relaying.put_holding(holding)

    def engine_told(self, reading: LoadReading, now: float) -> None:
        """An engine told this box its load."""
        self._note_load(reading, now, newer_by=0.0)

    def _note_load(self, reading: LoadReading, now: float, newer_by: float) -> None:
        if self._known.loads.apply_reading(reading, now, newer_by):
            self._relaying.put_reading(reading, now)

    def _hear_of_failures(self, report: FailureReport, now: float) -> None:
        known = self._known
        if report.origin == self._box or not known.health.heard(report, now):
            return
        self._relaying.put_report(report, now)
        if not report.incarnation_key:
            return
        suspect = Suspect(report.engine, report.incarnation_key)
        if known.engines.record_peer_suspicion(suspect, report.origin, now):
            known.beliefs.append(Belief(suspect.engine, Phase.SUSPECT, report.origin, Sign.TOLD))

    def note(self, event: Event, now: float, sign: Sign = Sign.TOLD) -> None:
        """Believe an exception that this box saw or a peer told, and relay it."""
        known = self._known
        if not known.events.add(event, len(known.boxes.peers()) + 1):
            return
        known.counts[f'event.{event.kind.name.lower()}'] += 1
        known.beliefs.append(belief_from(event, sign))
        if event.kind is EventKind.ENGINE_LEAVING:
            known.engines.mark_leaving(event.subject, event.incarnation)
        elif event.kind is EventKind.BOX_LEAVING:
            known.boxes.mark_leaving(event.subject, event.incarnation)
        elif event.kind is EventKind.BOX_GONE:
            known.boxes.record_gone_report(event.subject, event.origin, now)

    def forget_silent(self, now: float) -> None:
        """What silent neighbours told is void; the others may have to hear of it."""
        silent = self._known.boxes.silent(now)
        self._note_silence(set(silent))
        for name in silent:
            self._tell_gone(name, now)
            self._known.loads.drop_peer(name)
            self._receiver.forget(name)
            self._sender.forget(name)

    def _note_silence(self, silent: set[str]) -> None:
        beliefs = self._known.beliefs
        for name in sorted(silent - self._silent):
            beliefs.append(Belief(name, Phase.GONE, SILENCE_SOURCE, Sign.SILENCE))
        for name in sorted(self._silent - silent):
            if self._known.boxes.get(name) is not None:
                beliefs.append(Belief(name, Phase.LIVE, HEARD_SOURCE, Sign.SILENCE))
        self._silent = silent

    def _tell_gone(self, name: str, now: float) -> None:
        """Tell boxes that do not hear a neighbour themselves that it fell silent."""
        if self._known.boxes.all_are_neighbours:
            return
        box = self._known.boxes.get(name)
        if box is not None and box.incarnation:
            gone = Event(EventKind.BOX_GONE, name, box.incarnation, self._box)
            self.note(gone, now, Sign.SILENCE)

    # What this box tells.

    def digests_for(self, peers: Iterable[str], versions: Versions, now: float) -> list[Digest]:
        """The next message to each of `peers`."""
        known = self._known
        truth = Digest(
            self._box,
            self._incarnation,
            leaving=self.leaving,
            loads=known.loads.own_loads(),
            usage=known.limits.usage(now),
            settings_total=versions.settings_total,
            settings_fingerprint=versions.settings_print,
            events=known.events.pending(EVENTS_PER_DIGEST),
            engines_version=versions.engines,
            boxes_version=versions.boxes,
            evacuations_version=versions.evacuations,
            store_lost=versions.store_lost,
            learned=len(known.holders.learned),
            cases_fingerprint=known.quarantine.fingerprint,
            store_age=None if self.store_seen_at is None else now - self.store_seen_at,
        )
        if self.watching:
            self._relaying.put_heartbeat(WatcherHeartbeat(self._box), now)
        for report in known.health.new_reports(self._box, now):
            self._relaying.put_report(report, now)
        return [self._digest_for(peer, truth, now) for peer in peers]

    def _digest_for(self, peer: str, truth: Digest, now: float) -> Digest:
        message = self._sender.next_for(peer, truth, self._receiver.last_seq(peer))
        # Counted as told even if it is not sent: that only delays a share.
        self._known.limits.digest_sent(peer, message.seq, truth.usage)
        return self._relaying.attached_to(message, now)

    def digests_sent(self, digests: Iterable[Digest]) -> None:
        """Messages went out."""
        self._known.loads.digest_sent()
        for digest in digests:
            self._known.events.record_relayed(digest.events)
