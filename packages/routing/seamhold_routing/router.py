"""One box's whole decision state, without sockets, threads or a clock.

Messages and the time go in, messages come out.  The daemon's decider task
owns one of these; a test or a measurement drives it with a hand-set clock.
"""

import math
import random
from collections.abc import Iterable
from functools import partial

from msgspec.structs import replace

from seamhold_attempts.retry import Outcome
from seamhold_limits import WorkspaceLimits
from seamhold_membership import BoxView, Digest, EngineView, Event, EventKind, ServiceUse
from seamhold_messages.fleet import Box, Engine, Evacuation, Phase
from seamhold_messages.hashing import hash64
from seamhold_messages.work import Call, Decision, LoadReading
from seamhold_placement import Chooser, ColdShares, HolderTable, LoadTable, choose
from seamhold_quarantine import EndReport
from seamhold_settings import Tree

from .beliefs import LIST_SOURCE, OUTLIER_SOURCE, Belief, Sign, changes
from .calls import BoxCalls
from .exchange import Knowledge, PeerExchange, Versions
from .health import EngineHealth
from .plans import caps_for
from .watchers import box_missing_seconds, box_silent_seconds, store_away, watcher_silent_seconds

#: After an outage of the platform its list is whole again within this time.
LIST_RECOVERY_SECONDS = 2.0
#: More than this share of a service's engines has to serve before one is risked.
RISKED_SHARE = 0.5
#: How often what is known of requests that end engines is looked through, in seconds.
FORGET_CASES_SECONDS = 60.0


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
        self._cold_shares = ColdShares(box)
        self.limits = WorkspaceLimits(box)
        known = Knowledge(
            self.boxes, self.engines, self.health, self.loads, self.holders, self.limits
        )
        self.counts = known.counts
        self.events = known.events
        self.beliefs = known.beliefs
        self.quarantine = known.quarantine
        self._forget_cases_at = -math.inf
        self.exchange = PeerExchange(box, incarnation, known)
        self._calls = BoxCalls(
            known,
            self.exchange,
            chooser or partial(choose, rng=random.Random(incarnation)),
            failure_domain,
            self._cold_shares,
        )

    # What the box is told.

    def use_settings(self, tree: Tree) -> None:
        """Put a tree in force; work in flight goes on."""
        self.tree = tree
        placement = tree.fleet.placement
        self.engines.rising_seconds = placement.rising_seconds
        self.engines.suspect_seconds = placement.suspect_seconds
        self.engines.max_ejection_share = placement.max_ejection_share
        self.engines.cold_seconds = {
            name: service.cold_seconds for name, service in tree.fleet.services.items()
        }
        self.loads.peer_growth = placement.peer_growth
        self.limits.set_caps(caps_for(tree))
        self._calls.use_settings(tree)

    def set_engines(self, engines: list[Engine], now: float) -> list[Decision]:
        """Take over the platform's list of engines."""
        before = self.engines.phases(now)
        self.engines.set_list(engines, now)
        self.beliefs += changes(before, self.engines.phases(now))
        return self._calls.drain(now)

    def set_evacuations(self, evacuations: list[Evacuation], now: float) -> list[Decision]:
        """Take over which failure domains the operators evacuate."""
        before = self.engines.phases(now)
        domains = frozenset(evacuation.name for evacuation in evacuations)
        self.engines.set_evacuated(domains, now)
        self.beliefs += changes(before, self.engines.phases(now))
        return self._calls.drain(now)

    def set_boxes(self, boxes: list[Box], now: float) -> None:
        """Take over the platform's list of boxes."""
        new = self.boxes.set_list(boxes, now)
        self._cold_shares.set_boxes(box.name for box in boxes)
        self.exchange.selection.begin(now)
        self._share_between_live(now)
        self.exchange.boxes_listed(new)

    def hear(self, digest: Digest, now: float) -> list[Decision]:
        """A peer told its state; calls that waited may now have a place."""
        self.exchange.hear(digest, now)
        return self._calls.drain(now)

    def engine_leaving(self, name: str, now: float) -> None:
        """An engine told this box in so many words that it takes no new work."""
        engine = self.engines.get(name)
        if engine is not None:
            event = Event(EventKind.ENGINE_LEAVING, name, engine.incarnation, self.box)
            self.exchange.note(event, now, Sign.REFUSAL)

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

    def engine_ended(self, engine: Engine, report: EndReport, now: float) -> EndReport | None:
        """An engine ended under one of this box's calls; what to hold against its request.

        None where that is nothing: an engine that was leaving ends as planned.
        """
        ended = self.engines.get(engine.name) or self._started_again(engine)
        if ended is None or self.engines.phase(ended.name, now) is Phase.LEAVING:
            return None
        if self.engines.record_failure(ended.name, now):
            self.beliefs.append(Belief(ended.name, Phase.SUSPECT, self.box, Sign.CALL))
        return replace(report, end=replace(report.end, engine=hash64(ended.name)))

    def _started_again(self, engine: Engine) -> Engine | None:
        """The start that has come at an engine's address, where the list has it already.

        A call that was meant for the start before runs there.
        """
        return self.engines.engine_at(engine.address)

    def may_risk(self, service: str, ended: frozenset[int], now: float) -> bool:
        """Whether an engine of a service may be lost to a request that is a suspect.

        The starts in `ended` are away, also where this box met none of these ends: a service
        of three servers lost its last one to a box that did not know of the others.
        """
        serving = sum(
            hash64(name) not in ended for name in self.engines.serving(service, now).engines
        )
        known = max(len(self.engines.of_service(service)), serving + len(ended))
        return serving > RISKED_SHARE * known

    def store_answered(self, now: float) -> None:
        """The platform answered this box."""
        self.exchange.store_seen(now)

    # What the box is asked.

    def admit(self, call: Call, now: float) -> list[Decision]:
        """Place the call, let it wait, or refuse it.

        The first decision names the call; others may name calls that gave
        way to it.
        """
        return self._calls.admit(call, now)

    def began(self, call_id: str, now: float) -> None:
        """The answer to a call begins."""
        self._calls.began(call_id, now)

    def attempted(self, call_id: str, outcome: Outcome, now: float) -> list[Decision]:
        """An attempt ended; the call keeps its part of the limits."""
        return self._calls.attempted(call_id, outcome, now)

    def again(self, call_id: str, now: float, full_engine: str = '') -> list[Decision]:
        """Place a call anew; `full_engine` refused it as full, '' for none."""
        return self._calls.again(call_id, now, full_engine)

    def exclude(self, call_id: str, engine: str) -> None:
        """Keep the call away from `engine` from here on."""
        self._calls.exclude(call_id, engine)

    def close(self, call_id: str, now: float) -> list[Decision]:
        """The call is over, or its caller left while it waited."""
        return self._calls.close(call_id, now)

    # Time.

    def next_due(self, now: float) -> float:
        """When a wait ends: of a call for its engine or a slot, or for an answer."""
        return min(self.health.next_late(), self._calls.next_due(now))

    def tick(self, now: float) -> list[Decision]:
        """Expire what waited too long and forget boxes that went silent."""
        self.boxes.silent_seconds = box_silent_seconds(self.boxes, self.tree.fleet.control)
        self.loads.expire(now)
        self._cold_shares.prune(now)
        if now >= self._forget_cases_at:
            self._forget_cases_at = now + FORGET_CASES_SECONDS
            self.quarantine.forget(now)
        self.exchange.forget_silent(now)
        self._share_between_live(now)
        self._note_outage(now)
        for name in self.health.eject_outliers(self._calls.services, now):
            self.counts['engine.ejected'] += 1
            self.beliefs.append(Belief(name, Phase.SUSPECT, OUTLIER_SOURCE, Sign.COMPARED))
        return self._calls.drain(now)

    def _note_outage(self, now: float) -> None:
        """While the platform is away, entries that lapse say nothing of their engines."""
        control = self.tree.fleet.control
        seen_at = self.exchange.store_seen_at
        if store_away(self.store_lost, self.boxes, control, seen_at, now):
            self.engines.outage_until = now + LIST_RECOVERY_SECONDS
            return
        for name in self.engines.drop_unlisted(now):
            self.beliefs.append(Belief(name, Phase.GONE, LIST_SOURCE, Sign.LIST))

    def _share_between_live(self, now: float) -> None:
        self.limits.set_boxes(self.boxes.live(now), self.boxes.leaving_boxes(now))

    def follows_store(self, now: float) -> bool:
        """Whether this box is one of the few that watch the platform's store."""
        control = self.tree.fleet.control
        silent_seconds = watcher_silent_seconds(self.boxes, control)
        watches = self.exchange.selection.watches(
            self.boxes.live(now), self.boxes.store_lost(), silent_seconds, now
        )
        self.exchange.watching = watches and not self.store_lost
        return watches

    def missing_boxes(self, now: float) -> list[str]:
        """Neighbours that are silent and may be there: cut off, or only just gone."""
        seconds = box_missing_seconds(self.boxes, self.tree.fleet.control)
        return self.boxes.missing(seconds, now)

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

    def engine_uses(self, now: float) -> list[ServiceUse]:
        """How many engines of each service that calls were for get new work."""
        return self._calls.engine_uses(now)

    @property
    def in_flight(self) -> int:
        """Calls that are placed or wait on this box."""
        return len(self._calls)
