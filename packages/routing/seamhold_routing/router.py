"""One box's whole decision state, without sockets, threads or a clock.

Messages and the time go in, messages come out.  The daemon's decider task
owns one of these; a test or a measurement drives it with a hand-set clock.
"""

import random
from collections.abc import Iterable
from functools import partial

from msgspec import Struct
from msgspec.structs import replace

from seamhold_attempts.retry import Outcome
from seamhold_limits import WorkspaceLimits
from seamhold_membership import BoxView, Digest, EngineView, Event, EventKind
from seamhold_messages.errors import NoEngine, SeamholdError
from seamhold_messages.fleet import Box, Engine, Evacuation, Phase
from seamhold_messages.work import Call, Decision, LoadReading, Placed, Queued, Refused
from seamhold_placement import Chooser, ColdShares, HolderTable, LoadTable, choose
from seamhold_settings import Tree

from .beliefs import LIST_SOURCE, OUTLIER_SOURCE, Belief, changes
from .exchange import Knowledge, PeerExchange, Versions
from .health import EngineHealth
from .plans import caps_for, plan_for
from .service import ServiceRouter
from .watchers import box_silent_seconds, store_away, watcher_silent_seconds

NO_ENGINE_RETRY_SECONDS = 1.0
#: After an outage of the platform its list is whole again within this time.
LIST_RECOVERY_SECONDS = 2.0
#: How often calls that wait for any slot are looked at, in seconds, beside each
#: time that a call ends or a peer tells its load.
QUEUE_LOOK_SECONDS = 0.05


class _Active(Struct):
    call: Call
    engine: str = ''
    patient_until: float = 0.0
    #: When it was sent to its engine, None once its answer has begun.
    sent_at: float | None = None


class Router:
    """What one box knows and decides.

    `loads` and `chooser` are for those who embed it with another source of
    load or another rule; the daemon uses what is built in, which draws among engines
    that are as good, with a generator seeded by `incarnation`.  Among engines of equal load, calls
    that reuse nothing go to one of `failure_domain`.
    """

    def __init__(
        self,
        box: str,
        incarnation: str,
        loads: LoadTable | None = None,
        chooser: Chooser | None = None,
        failure_domain: str = '',
    ):
        self.box = box
        self.failure_domain = failure_domain
        #: Whether the platform does not serve this box.
        self.store_lost = False
        self.tree = Tree()
        self.engines = EngineView()
        self.health = EngineHealth(self.engines)
        self.boxes = BoxView(box)
        self.loads = loads or LoadTable()
        self.holders = HolderTable()
        self._chooser = chooser or partial(choose, chance=random.Random(incarnation))
        self._cold_shares = ColdShares(box)
        self.limits = WorkspaceLimits(box)
        known = Knowledge(
            self.boxes, self.engines, self.health, self.loads, self.holders, self.limits
        )
        self.counts = known.counts
        self.events = known.events
        self.beliefs = known.beliefs
        self.exchange = PeerExchange(box, incarnation, known)
        self._services: dict[str, ServiceRouter] = {}
        self._active: dict[str, _Active] = {}

    # What the box is told.

    def use_settings(self, tree: Tree) -> None:
        """Put a tree in force; work in flight goes on."""
        self.tree = tree
        placement = tree.fleet.placement
        self.engines.rising_seconds = placement.rising_seconds
        self.engines.suspect_seconds = placement.suspect_seconds
        self.engines.cold_seconds = {
            name: service.cold_seconds for name, service in tree.fleet.services.items()
        }
        self.loads.peer_growth = placement.peer_growth
        self.limits.set_caps(caps_for(tree))
        for name, service in self._services.items():
            service.use_plan(plan_for(tree, name))

    def set_engines(self, engines: list[Engine], now: float) -> list[Decision]:
        """Take over the platform's list of engines."""
        before = self.engines.phases(now)
        self.engines.set_list(engines, now)
        self.beliefs += changes(before, self.engines.phases(now))
        return self._drain_queues(now)

    def set_evacuations(self, evacuations: list[Evacuation], now: float) -> list[Decision]:
        """Take over which failure domains the operators evacuate."""
        before = self.engines.phases(now)
        domains = frozenset(evacuation.name for evacuation in evacuations)
        self.engines.set_evacuated(domains, now)
        self.beliefs += changes(before, self.engines.phases(now))
        return self._drain_queues(now)

    def set_boxes(self, boxes: list[Box], now: float) -> None:
        """Take over the platform's list of boxes."""
        self.boxes.set_list(boxes, now)
        self._cold_shares.set_boxes(box.name for box in boxes)
        self.exchange.selection.begin(now)
        self._share_between_live(now)

    def hear(self, digest: Digest, now: float) -> list[Decision]:
        """A peer told its state; calls that waited may now have a place."""
        self.exchange.hear(digest, now)
        return self._drain_queues(now)

    def engine_leaving(self, name: str, now: float) -> None:
        """An engine told this box that it takes no new work."""
        engine = self.engines.get(name)
        if engine is not None:
            event = Event(EventKind.ENGINE_LEAVING, name, engine.incarnation, self.box)
            self.exchange.note(event, now)

    def engine_told(self, name: str, requests: int, sent_at: float, now: float) -> None:
        """An engine told with an answer how many calls run and wait there.

        It is as old as the call that it answers, sent at `sent_at`: when the engine
        counted since is not known, and calls that were on their way then are not in it.
        Dated when it is handled instead, a prompt asked for by 40 in 100 of 235 calls a
        second brings 11 of 1,000 calls above the promise where each way takes 0.1 s, and
        breaks it; 1 so (routers alone, five seeds).
        """
        if self.engines.get(name) is not None:
            self.exchange.engine_told(LoadReading(name, requests, max(0.0, now - sent_at)), now)

    def store_answered(self, now: float) -> None:
        """The platform answered this box."""
        self.exchange.store_seen(now)

    # What the box is asked.

    def admit(self, call: Call, now: float) -> list[Decision]:
        """Place the call, let it wait, or refuse it.

        The first decision names the call; others may name calls that gave
        way to it.
        """
        try:
            decisions = self._admit(call, now)
        except SeamholdError as error:
            decisions = [Refused(call.id, error.code, error.detail, error.retry_after)]
        return self._count(decisions)

    def _admit(self, call: Call, now: float) -> list[Decision]:
        service = self._service(call.service)
        if not service.any_engine(now):
            raise NoEngine('no live engine serves this', NO_ENGINE_RETRY_SECONDS)
        self.limits.admit(call.workspace, call.work, now)
        self._active[call.id] = _Active(call)
        self._active[call.id].patient_until = now + service.plan.patience
        if len(service.queue):
            return self._enqueue(service, call, now)
        return self._place_or_wait(service, call, now)

    def _place_or_wait(self, service: ServiceRouter, call: Call, now: float) -> list[Decision]:
        """Place the call now, or let it wait for its engine or for any."""
        placed = service.place(call, now)
        if placed is None:
            return self._enqueue(service, call, now)
        patient = now < self._active[call.id].patient_until
        if patient and placed.spilled:
            service.patient.append(call.id)
            return [Queued(call.id)]
        return [self._start(placed, call, now)]

    def _enqueue(self, service: ServiceRouter, call: Call, now: float) -> list[Decision]:
        space = self.tree.workspaces.get(call.workspace)
        weight = space.weight if space else 1.0
        refused = service.queue.offer(call, now, weight)
        for refusal in refused:
            self._forget(refusal.call_id)
        own = [refusal for refusal in refused if refusal.call_id == call.id]
        others = [refusal for refusal in refused if refusal.call_id != call.id]
        return [*(own or [Queued(call.id)]), *others]

    def _service(self, name: str) -> ServiceRouter:
        service = self._services.get(name)
        if service is None:
            service = ServiceRouter(
                name,
                self.engines,
                self.loads,
                self.holders,
                self._chooser,
                self.failure_domain,
                self._cold_shares,
            )
            service.use_plan(plan_for(self.tree, name))
            self._services[name] = service
        return service

    def _start(self, placed: Placed, call: Call, now: float) -> Placed:
        self._active[call.id].engine = placed.engine
        self._active[call.id].sent_at = now
        self._service(call.service).note_sent(placed.engine, now)
        self.health.sent(call.id, placed.engine, call.objective, now)
        if call.sticky:
            self.exchange.placed(call.chat, placed.engine, now)
        self.loads.start(placed.engine, call.work, now)
        return placed

    def began(self, call_id: str, now: float) -> None:
        """The answer to a call begins."""
        self.health.began(call_id)
        active = self._active.get(call_id)
        if active is not None and active.sent_at is not None:
            self.loads.answered(active.engine, active.sent_at, now)
            active.sent_at = None

    def attempted(self, call_id: str, outcome: Outcome, now: float) -> list[Decision]:
        """An attempt ended; the call keeps its part of the limits."""
        active = self._active.get(call_id)
        if active is None or not active.engine:
            return []
        engine, active.engine = active.engine, ''
        sent_at, active.sent_at = active.sent_at, None
        self.health.began(call_id)
        self.loads.finish(engine, active.call.work, now, sent_at)
        self._note_outcome(engine, outcome, now)
        return self._drain_queue(active.call.service, now)

    def _note_outcome(self, engine: str, outcome: Outcome, now: float) -> None:
        self.counts[f'outcome.{outcome}'] += 1
        if self.health.ended(engine, outcome, now):
            self.beliefs.append(Belief(engine, Phase.SUSPECT, self.box))

    def again(self, call_id: str, now: float, full_engine: str = '') -> list[Decision]:
        """Place a call anew, away from the engine of its last attempt.

        If that is the last one left and refused the call as full, which
        `full_engine` tells, the call waits for it.
        """
        active = self._active.get(call_id)
        if active is None:
            return []
        service = self._service(active.call.service)
        placed = service.place(active.call, now)
        if placed:
            return self._count([self._start(placed, active.call, now)])
        if not service.may_take_later(active.call, full_engine, now):
            error = NoEngine('no other engine serves this', NO_ENGINE_RETRY_SECONDS)
            return self._count([Refused(call_id, error.code, error.detail, error.retry_after)])
        if not service.any_engine(now, active.call.excluded):
            left = active.call.excluded - {full_engine}
            active.call = replace(active.call, excluded=left)
            service.note_full(full_engine, now)
        return self._count(self._enqueue(service, active.call, now))

    def exclude(self, call_id: str, engine: str) -> None:
        """Keep the call away from `engine` from here on."""
        active = self._active.get(call_id)
        if active is not None:
            excluded = active.call.excluded | {engine}
            active.call = replace(active.call, excluded=excluded, hint='')

    def close(self, call_id: str, now: float) -> list[Decision]:
        """The call is over, or its caller left while it waited."""
        active = self._active.get(call_id)
        if active is None:
            return []
        service = self._service(active.call.service)
        service.queue.remove(call_id)
        if active.engine:
            self.loads.finish(active.engine, active.call.work, now, active.sent_at)
        self._forget(call_id)
        return self._drain_queue(active.call.service, now)

    def _forget(self, call_id: str) -> None:
        active = self._active.pop(call_id, None)
        self.health.began(call_id)
        if active is not None:
            self.limits.release(active.call.workspace, active.call.work)

    # Time.

    def next_due(self, now: float) -> float:
        """When a wait ends: of a call for its engine or a slot, or for an answer."""
        due = self.health.next_late()
        for service in self._services.values():
            if len(service.queue):
                due = min(due, now + QUEUE_LOOK_SECONDS)
            for call_id in service.patient:
                active = self._active.get(call_id)
                due = min(due, active.patient_until if active else now)
        return due

    def tick(self, now: float) -> list[Decision]:
        """Expire what waited too long and forget boxes that went silent."""
        self.boxes.silent_seconds = box_silent_seconds(self.boxes, self.tree.fleet.control)
        self.loads.expire(now)
        self._cold_shares.forget(now)
        self.exchange.forget_silent(now)
        self._share_between_live(now)
        self._note_outage(now)
        for name in self.health.eject_outliers(self._services, now):
            self.counts['engine.ejected'] += 1
            self.beliefs.append(Belief(name, Phase.SUSPECT, OUTLIER_SOURCE))
        return self._drain_queues(now)

    def _note_outage(self, now: float) -> None:
        """While the platform is away, entries that lapse say nothing of their engines."""
        control = self.tree.fleet.control
        seen_at = self.exchange.store_seen_at
        if store_away(self.store_lost, self.boxes, control, seen_at, now):
            self.engines.outage_until = now + LIST_RECOVERY_SECONDS
            return
        for name in self.engines.drop_unlisted(now):
            self.beliefs.append(Belief(name, Phase.GONE, LIST_SOURCE))

    def _share_between_live(self, now: float) -> None:
        self.limits.set_boxes(self.boxes.live(now))

    def _drain_queues(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for name in self._services:
            decisions += self._drain_queue(name, now)
        return decisions

    def _drain_queue(self, name: str, now: float) -> list[Decision]:
        service = self._services[name]
        decisions = self._drain_patient(service, now)
        if len(service.queue):
            decisions += self._drain_full(service, now)
        return self._count(decisions)

    def _drain_patient(self, service: ServiceRouter, now: float) -> list[Decision]:
        """Place calls that waited for their engine, now or in vain."""
        waiting, service.patient = service.patient, []
        decisions: list[Decision] = []
        for call_id in waiting:
            active = self._active.get(call_id)
            if active is not None:
                decisions += self._place_or_wait(service, active.call, now)
        return [decision for decision in decisions if not isinstance(decision, Queued)]

    def _drain_full(self, service: ServiceRouter, now: float) -> list[Decision]:
        """Place calls that waited for any slot, the next first."""
        decisions: list[Decision] = list(service.queue.expire(now))
        for refusal in decisions:
            self._forget(refusal.call_id)
        for call in service.queue.peek(now):
            placed = service.place(call, now)
            if placed is None:
                break
            service.queue.remove(call.id, now)
            decisions.append(self._start(placed, call, now))
        return decisions

    def _count(self, decisions: list[Decision]) -> list[Decision]:
        for decision in decisions:
            if isinstance(decision, Refused):
                self.counts[f'refused.{decision.code}'] += 1
            elif isinstance(decision, Placed):
                self.counts['placed.spilled' if decision.spilled else 'placed.first'] += 1
        return decisions

    def follows_store(self, now: float) -> bool:
        """Whether this box is one of the few that watch the platform's store."""
        control = self.tree.fleet.control
        silent_seconds = watcher_silent_seconds(self.boxes, control)
        watches = self.exchange.selection.watches(
            self.boxes.live(now), self.boxes.store_lost(), silent_seconds, now
        )
        self.exchange.watching = watches and not self.store_lost
        return watches

    # What the box tells.

    def digests_for(self, peers: Iterable[str], versions: Versions, now: float) -> list[Digest]:
        """The next message to each of `peers`."""
        return self.exchange.digests_for(peers, versions, now)

    def digests_sent(self, digests: Iterable[Digest]) -> None:
        """Messages went out."""
        self.exchange.digests_sent(digests)

    def leave(self) -> None:
        """This box is stopping: peers are told with the next messages."""
        self.exchange.leaving = True

    def take_beliefs(self) -> list[Belief]:
        """Changes of belief since they were last taken, for the logs."""
        taken = self.beliefs.copy()
        self.beliefs.clear()
        return taken

    @property
    def in_flight(self) -> int:
        """Calls that are placed or wait on this box."""
        return len(self._active)
