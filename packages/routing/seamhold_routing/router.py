"""One box's whole decision state, without sockets, threads or a clock.

The caller passes in messages and the current time and gets messages back.  The daemon's
decider task owns one router; tests and measurements drive routers with a simulated clock.
"""

import math
import random
from collections.abc import Iterable
from functools import partial

from msgspec.structs import replace

from seamhold_attempts.retry import Outcome
from seamhold_limits import SlotShares, WorkspaceLimits
from seamhold_membership import (
    BoxView,
    Digest,
    EngineView,
    Event,
    EventKind,
    ServiceUse,
    ServiceVersions,
)
from seamhold_messages.fleet import Box, Engine, Evacuation, Phase
from seamhold_messages.hashing import hash64
from seamhold_messages.work import Call, Decision, LoadReading, RetryCount
from seamhold_placement import Chooser, ColdShares, HolderTable, LoadTable, choose
from seamhold_quarantine import EndReport
from seamhold_settings import Tree

from .beliefs import LIST_SOURCE, OUTLIER_SOURCE, Belief, Sign, phase_changes
from .calls import BoxCalls
from .exchange import FleetState, PeerExchange, Versions
from .health import EngineHealth
from .plans import caps_for
from .store_access import StoreAccess
from .store_looks import StoreLooks, StoreProof, proof_seconds
from .watchers import (
    WatchTurn,
    box_missing_seconds,
    box_silent_seconds,
    store_unavailable,
    watcher_silent_seconds,
)

#: After an outage of the platform its list is complete again within this time.
LIST_RECOVERY_SECONDS = 2.0
#: A suspect request, which may end its engine, runs only while more than this share of the
#: service's engines serves.
MIN_SERVING_SHARE = 0.5
#: Interval at which expired cases of requests that end engines are dropped.
FORGET_CASES_SECONDS = 60.0


class Router:
    """One box's state and decisions.

    `loads` and `chooser` allow an embedding program to supply another source of load or
    another placement rule.  The daemon uses the defaults: the default chooser picks at random
    among equally good engines, with a generator seeded by `incarnation`.  Among engines of
    equal load, a call that reuses no cache goes to one in `failure_domain`.
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
        #: Whether this box has lost access to the platform's store.
        self.store_lost = False
        self._store_access = StoreAccess()
        self.tree = Tree()
        self.engines = EngineView()
        self.versions = ServiceVersions()
        self.boxes = BoxView(box)
        self.loads = loads or LoadTable()
        self.health = EngineHealth(self.engines, self.loads.speeds)
        self.holders = HolderTable()
        self._cold_shares = ColdShares(box)
        self.limits = WorkspaceLimits(box)
        self.slots = SlotShares(box, incarnation)
        self.slots.enabled = self.tree.fleet.placement.brittle_slots_by_demand
        state = FleetState(
            self.boxes,
            self.engines,
            self.health,
            self.loads,
            self.holders,
            self.limits,
            self.slots,
        )
        self.counts = state.counts
        self.events = state.events
        self.beliefs = state.beliefs
        self.quarantine = state.quarantine
        self._forget_cases_at = -math.inf
        self.exchange = PeerExchange(box, incarnation, state)
        rng = random.Random(incarnation)
        self._looks = StoreLooks(random.Random(f'looks-{incarnation}'))
        self._calls = BoxCalls(
            state,
            self.exchange,
            chooser or partial(choose, rng=rng),
            failure_domain,
            self._cold_shares,
            rng,
        )

    # Inputs: settings, lists, and messages from peers and engines.

    def use_settings(self, tree: Tree) -> None:
        """Apply a settings tree; calls in flight continue."""
        self.tree = tree
        placement = tree.fleet.placement
        self.engines.rising_seconds = placement.rising_seconds
        self.engines.suspect_seconds = placement.suspect_seconds
        self.engines.max_ejection_share = placement.max_ejection_share
        self.engines.cold_seconds = {
            name: service.cold_seconds for name, service in tree.fleet.services.items()
        }
        self.loads.peer_growth = placement.peer_growth
        self.slots.enabled = placement.brittle_slots_by_demand
        self.limits.set_caps(caps_for(tree))
        self._calls.use_settings(tree)

    def set_engines(self, engines: list[Engine], now: float) -> list[Decision]:
        """Apply the platform's list of engines; return decisions on waiting calls."""
        before = self.engines.phases(now)
        self.engines.set_list(engines, now)
        self.versions.set_list(engines, now)
        self.beliefs += phase_changes(before, self.engines.phases(now))
        return self._calls.drain(now)

    def set_evacuations(self, evacuations: list[Evacuation], now: float) -> list[Decision]:
        """Apply the list of failure domains that operators evacuate."""
        before = self.engines.phases(now)
        domains = frozenset(evacuation.name for evacuation in evacuations)
        self.engines.set_evacuated(domains, now)
        self.beliefs += phase_changes(before, self.engines.phases(now))
        return self._calls.drain(now)

    def set_boxes(self, boxes: list[Box], now: float) -> None:
        """Apply the platform's list of boxes."""
        before = {box.name for box in self.boxes.peers()}
        new = self.boxes.set_list(boxes, now)
        # A box off the list is no neighbour, so it is never dropped for its silence.
        for name in before - {box.name for box in boxes}:
            self.loads.drop_peer(name)
        self._cold_shares.set_boxes(box.name for box in boxes)
        names = [box.name for box in boxes]
        self.slots.set_boxes(names, self.boxes.all_are_neighbours, now)
        self.exchange.selection.begin(now)
        self._share_limits(now)
        self.exchange.boxes_listed(new)

    def receive_digest(self, digest: Digest, now: float) -> list[Decision]:
        """Apply a digest received from a peer; return decisions on waiting calls."""
        self.exchange.receive_digest(digest, now)
        return self._calls.drain(now)

    def engine_leaving(self, name: str, incarnation: str, now: float) -> None:
        """Record that an engine said in an answer to this box that it takes no new work.

        It need not be listed: its entry may have lapsed and come back later.
        """
        event = Event(EventKind.ENGINE_LEAVING, name, incarnation, self.box)
        self.exchange.record_event(event, now, Sign.ANSWER)

    def engine_resting(self, name: str, seconds: float, now: float) -> None:
        """Record for how long an engine wants no requests from this box; no other box is told."""
        self.engines.mark_resting(name, seconds, now)

    def engine_brittle(self, name: str, brittle: bool, now: float) -> None:
        """Record whether an engine said in an answer to this box that it is brittle."""
        self.engines.mark_brittle(name, brittle, now)

    def record_engine_load(
        self,
        name: str,
        requests: int,
        sent_at: float,
        now: float,
        slowness: float | None = None,
    ) -> None:
        """Record how many calls run and wait at an engine, as reported with an answer.

        The reading is dated `sent_at`, when the answered call was sent, because it is not known
        when the engine counted since then, and calls in transit at that time are not counted.
        Dating it on receipt breaks the load guarantee: with 0.1 s of latency each way and 40 in
        100 of 235 calls a second for one prompt, 11 of 1,000 calls exceed the bound instead of 1.

        `slowness` is dated on receipt here, because the engine states it when it starts to answer.
        Peers receive it with the age of the reading, which is at least its own.
        """
        if self.engines.get(name) is not None:
            reading = LoadReading(name, requests, max(0.0, now - sent_at), slowness)
            self.exchange.record_engine_load(reading, now)
            if slowness is not None:
                self.loads.speeds.record(name, slowness, now)
                self.exchange.record_speed(name, slowness, now)

    def engine_ended(self, engine: Engine, report: EndReport, now: float) -> EndReport | None:
        """Record that an engine ended under one of this box's calls.

        Returns the report that counts against the call's request, None if there is none, for
        example because the engine was leaving and ended as planned, or was brittle and full.
        """
        ended = self.engines.get(engine.name) or self._replacement_of(engine)
        if ended is None or self.engines.phase(ended.name, now) is Phase.LEAVING:
            return None
        if self.engines.record_failure(ended.name, now):
            self.beliefs.append(Belief(ended.name, Phase.SUSPECT, self.box, Sign.CALL))
        if self._may_have_fallen_over(ended, now):
            return None
        return replace(report, end=replace(report.end, engine=hash64(ended.name)))

    def _may_have_fallen_over(self, engine: Engine, now: float) -> bool:
        """Whether a brittle engine may have ended because it turned calls away."""
        if not self.engines.is_brittle(engine.service, now):
            return False
        return self.loads.estimate(engine.name).requests >= engine.slots

    def _replacement_of(self, engine: Engine) -> Engine | None:
        """Return the engine that is now listed at the address of `engine`, None for none.

        A call meant for the earlier incarnation at that address runs there.
        """
        return self.engines.engine_at(engine.address)

    def may_risk_engine(self, service: str, ended: frozenset[int], now: float) -> bool:
        """Return whether a suspect request may run at an engine of `service` and possibly end it.

        `ended` holds hashes of the names of engines that have ended.  They count as gone even
        if this box did not observe it: otherwise a box that does not know of the other ends
        could let a request end the last of three servers.
        """
        serving = sum(
            hash64(name) not in ended for name in self.engines.serving(service, now).engines
        )
        total = max(len(self.engines.of_service(service)), serving + len(ended))
        return serving > MIN_SERVING_SHARE * total

    def store_answered(self, now: float, is_fresh: bool = True) -> None:
        """Record that the platform answered this box; `is_fresh` if with its newest state."""
        self._store_access.record_answer(now)
        if is_fresh:
            self.exchange.record_store_answer(now)
            self.exchange.record_own_answer()

    def watch_unanswered(self, now: float) -> None:
        """Record that the platform did not answer a watch of this box in time."""
        self.exchange.record_unanswered_watch(now)

    # Calls.

    def admit(self, call: Call, now: float) -> list[Decision]:
        """Place the call, let it wait, or refuse it.

        The first decision is about the call itself; others are about calls that it displaced
        from the queue.
        """
        return self._calls.admit(call, now)

    def answer_started(self, call_id: str, now: float) -> None:
        """Record that an engine has begun to answer a call."""
        self._calls.answer_started(call_id, now)

    def attempt_ended(self, call_id: str, outcome: Outcome, now: float) -> list[Decision]:
        """Record an attempt's outcome; the call still counts towards the workspace's limits."""
        return self._calls.attempt_ended(call_id, outcome, now)

    def retry_call(
        self, call_id: str, now: float, full_engine: str = '', answering_engine: str = ''
    ) -> list[Decision]:
        """Place a call again.

        `full_engine` refused it as full, `answering_engine` answered with a failure; '' for none.
        """
        return self._calls.retry_call(call_id, now, full_engine, answering_engine)

    def exclude(self, call_id: str, engine: str) -> None:
        """Exclude `engine` from further attempts of the call."""
        self._calls.exclude(call_id, engine)

    def bind_version(self, call_id: str, version: str) -> None:
        """Allow further attempts of the call only at engines of one software version."""
        self._calls.bind_version(call_id, version)

    def refuse_waiting(self, now: float) -> list[Decision]:
        """Refuse the calls that wait for a slot, and from now on those that would have to wait."""
        return self._calls.refuse_waiting(now)

    def close(self, call_id: str, now: float) -> list[Decision]:
        """End a call: it is over, or its caller left while it waited."""
        return self._calls.close(call_id, now)

    # Time.

    def next_due(self, now: float) -> float:
        """Return when `tick` is due next: for a waiting call, a slow answer or a look."""
        return min(self.health.next_slow_at(), self._calls.next_due(now), self._looks.due_at)

    def tick(self, now: float) -> list[Decision]:
        """Expire old state, detect silent boxes and outliers, and decide on waiting calls."""
        self.boxes.silent_seconds = box_silent_seconds(self.boxes, self.tree.fleet.control)
        self.loads.expire(now)
        self._cold_shares.prune(now)
        if now >= self._forget_cases_at:
            self._forget_cases_at = now + FORGET_CASES_SECONDS
            self.quarantine.forget(now)
            self.versions.forget(now)
        self.exchange.forget_silent(now)
        self._share_limits(now)
        self._check_outage(now)
        for name in self.health.eject_outliers(self._calls.services, now):
            self.counts['engine.ejected'] += 1
            self.beliefs.append(Belief(name, Phase.SUSPECT, OUTLIER_SOURCE, Sign.COMPARED))
        return self._calls.drain(now)

    def _check_outage(self, now: float) -> None:
        """Drop engines that are off the platform's list, unless the platform is unavailable.

        An entry that expires during an outage does not show that its engine is gone.  Where the
        store has gone on serving this box there is none, whatever the other boxes lost.
        """
        if self.store_lost:
            self._store_access.record_lost()
        control = self.tree.fleet.control
        answered_at = self.exchange.store_answered_at
        if self._store_access.is_steady(now):
            self.engines.outage_until = -math.inf
        elif store_unavailable(self.store_lost, self.boxes, control, answered_at, now):
            self.engines.outage_until = now + LIST_RECOVERY_SECONDS
            return
        for name in self.engines.drop_unlisted(now):
            self.beliefs.append(Belief(name, Phase.GONE, LIST_SOURCE, Sign.LIST))

    def _share_limits(self, now: float) -> None:
        self.limits.set_boxes(self.boxes.live(now), self.boxes.leaving_boxes(now))

    def watches_store(self, now: float) -> bool:
        """Return whether this box is one of the few that watch the platform's store."""
        control = self.tree.fleet.control
        silent_seconds = watcher_silent_seconds(self.boxes, control)
        watches = self.exchange.selection.watches(
            self.boxes.live(now), self.boxes.store_lost(), silent_seconds, now
        )
        self.exchange.watching = watches and not self.store_lost
        return watches

    def begins_look(self, now: float) -> bool:
        """Return whether this box is to read the store now, as it seems to answer no watcher."""
        begins = self._looks.begins(self._store_doubted_at(), len(self.boxes.peers()) + 1, now)
        return begins and not self.exchange.watching and not self.store_lost

    def store_in_doubt(self, now: float) -> bool:
        """Return whether there is no fresh proof that the store answers any box."""
        return now >= self._store_doubted_at()

    def _store_doubted_at(self) -> float:
        proof = StoreProof(self.exchange.store_answered_at, self.exchange.unanswered_at)
        return proof.doubted_at(proof_seconds(self.boxes, self.tree.fleet.control))

    @property
    def watch_turn(self) -> WatchTurn:
        """This box's turn among the watchers, valid while it is one."""
        return self.exchange.selection.turn

    def missing_boxes(self, now: float) -> list[str]:
        """Return silent neighbours that may still run: cut off from this box, or only just gone."""
        seconds = box_missing_seconds(self.boxes, self.tree.fleet.control)
        return self.boxes.missing(seconds, now)

    # Outputs: digests, logged beliefs and counts.

    def digests_for(
        self,
        peers: Iterable[str],
        versions: Versions,
        now: float,
        retries: tuple[RetryCount, ...] = (),
    ) -> list[Digest]:
        """Return the next digest for each of `peers`, in their order."""
        self._calls.report_demand(now)
        waiting = self._calls.waiting_calls(now)
        return self.exchange.digests_for(peers, versions, now, retries, waiting)

    def digests_sent(self, digests: Iterable[Digest]) -> None:
        """Record that digests were sent."""
        self.exchange.digests_sent(digests)

    def leave(self) -> None:
        """Report in the next digests that this box is stopping."""
        self.exchange.leaving = True

    def take_beliefs(self) -> list[Belief]:
        """Return the changes of belief since the last call, for the logs."""
        taken = self.beliefs.copy()
        self.beliefs.clear()
        return taken

    def engine_uses(self, now: float) -> list[ServiceUse]:
        """Return the use of engines by each service that this box has received calls for."""
        return self._calls.engine_uses(now)

    @property
    def in_flight(self) -> int:
        """The number of calls that are placed or wait on this box."""
        return len(self._calls)
