"""Drives one router per box through a scenario, with a hand-set clock."""

import heapq
import itertools
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from seamhold_attempts.retry import Outcome
from seamhold_membership import ByteBudget
from seamhold_messages.fleet import Box, Engine
from seamhold_messages.work import Call, Placed, Refused, Work
from seamhold_peers import EncodedDigest
from seamhold_placement import LoadTable
from seamhold_routing import Router, Versions, hint_for
from seamhold_settings import FleetSpec, Tree
from seamhold_settings.schema import Control, Placement, WorkspaceSpec

from .fakes import PREFILL_RATE, Crowd, Deployment, FakeEngine
from .policies import Way

SERVICE = 'chat'
SAMPLE_SECONDS = 0.1
#: Samples with less work than this a engine say nothing about skew.
MEAN_CALLS_MIN = 4
#: The load has to build up before skew says anything.
WARM_UP_SECONDS = 15.0
CACHE_CHATS_TIMES = 1.5
DEADLINE_SECONDS = 30.0


@dataclass
class Tally:
    """What a run counted."""

    calls: int = 0
    reusable: int = 0
    reused: int = 0
    spilled: int = 0
    ran_full: int = 0
    refused: Counter = field(default_factory=Counter)
    skew_calls: list[float] = field(default_factory=list)
    skew_tokens: list[float] = field(default_factory=list)
    bytes: int = 0
    messages: int = 0
    denied: int = 0
    decision_seconds: float = 0.0
    decisions: int = 0
    cut: int = 0
    waits: list[float] = field(default_factory=list)
    reads: list[float] = field(default_factory=list)


class ExactLoads(LoadTable):
    """One table that all boxes share, as if each call cost a message."""


class ReportedLoads(LoadTable):
    """The engines' reports, some time old, and this box's own since then."""

    def __init__(self, engines: dict[str, FakeEngine], history: list, lag: float, clock):
        super().__init__()
        self._engines = engines
        self._history = history
        self._lag = lag
        self._clock = clock
        self._recent: dict[str, list] = {}

    def start(self, engine: str, work: Work) -> None:
        """Also remembered until a report can have seen it."""
        super().start(engine, work)
        self._recent.setdefault(engine, []).append((self._clock(), work))

    def estimate(self, engine: str) -> Work:
        """The last report, and what this box sent after it was made."""
        then = self._clock() - self._lag
        load = Work()
        for at, loads in reversed(self._history):
            if at <= then:
                load = loads.get(engine, load)
                break
        recent = [row for row in self._recent.get(engine, []) if row[0] > then]
        self._recent[engine] = recent
        for _, work in recent:
            load += work
        return load

    def total(self, group: str) -> Work:
        """The sum of all estimates."""
        load = Work()
        for engine in self._engines:
            load += self.estimate(engine)
        return load


class Drive:
    """One run: boxes, engines and callers on one clock."""

    def __init__(
        self,
        way: Way,
        deployment: Deployment,
        seed: int = 1,
        boxes: int = 8,
        engines: int = 10,
        scale: float = 1.0,
    ):
        self.now = 0.0
        self.way = way
        self.deployment = deployment
        self.rate = deployment.calls * scale
        self.chance = random.Random(seed)
        self.crowd = Crowd(deployment, random.Random(seed + 1), scale)
        self.tally = Tally()
        self.engines: dict[str, FakeEngine] = {}
        self._events: list = []
        self._order = itertools.count()
        self._history: list = []
        self._live: dict[str, tuple] = {}
        self._asked: dict[str, float] = {}
        self._shared = ExactLoads()
        self.list_lag = dict.fromkeys((f'box-{number}' for number in range(boxes)), 0.5)
        cache = self._cache_tokens(engines, scale)
        for number in range(engines):
            self.add_engine(f'engine-{number}', f'domain-{number % deployment.domains}', cache)
        self.cache_tokens = cache
        self.routers: dict[str, Router] = {}
        self.budgets: dict[str, ByteBudget] = {}
        self._seed = seed
        for number in range(boxes):
            self._add_router(f'box-{number}', number)
        self.publish(at_once=True)

    def _cache_tokens(self, engines: int, scale: float) -> int:
        chats = self.deployment.chats * scale
        mean_prompt = (self.deployment.first_prompt + self.deployment.prompt_max) / 2
        return round(chats * mean_prompt * CACHE_CHATS_TIMES / engines)

    def _add_router(self, name: str, number: int) -> None:
        loads: LoadTable | None = None
        if self.way.knowledge == 'exact':
            loads = self._shared
        elif self.way.knowledge == 'reports':
            loads = ReportedLoads(
                self.engines, self._history, self.way.report_lag, lambda: self.now
            )
        router = Router(name, '1', loads, self.way.make_chooser(self._seed + number))
        router.use_settings(self._tree())
        self.routers[name] = router
        self.budgets[name] = ByteBudget(self.way.budget, 0.0)

    def _tree(self) -> Tree:
        placement = Placement(
            load_multiple=10,
            admit_multiple=self.way.admit,
            floor_requests=self.way.floor,
            peer_growth=self.way.growth,
            patience=self.way.patience,
            rising_seconds=self.way.rising,
        )
        fleet = FleetSpec(placement=placement, control=Control())
        spaces = range(self.deployment.workspaces)
        return Tree(fleet, {f'workspace-{number}': WorkspaceSpec() for number in spaces})

    # The clock.

    def at(self, when: float, action, *args) -> None:
        """Do something at a time on the driver's clock."""
        heapq.heappush(self._events, (when, next(self._order), action, args))

    def run(self, seconds: float) -> Tally:
        """Let the clock run to `seconds`."""
        self.at(0.0, self._arrive)
        self.at(0.0, self._sample)
        for name in self.routers:
            self.at(self.chance.uniform(0, self.way.digest_seconds), self._tell, name)
            self.at(self.chance.uniform(0, 0.05), self._tick, name)
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self.tally

    # Engines and lists.

    def add_engine(self, name: str, domain: str, cache: int) -> None:
        """A new engine with an empty cache."""
        self.engines[name] = FakeEngine(name, domain, 64, cache)

    def publish(self, at_once: bool = False) -> None:
        """The platform's list reaches each box after the box's lag."""
        listed = [
            Engine(engine.name, SERVICE, engine.name, engine.domain, str(engine.incarnation), 64)
            for engine in self.engines.values()
            if engine.up
        ]
        boxes = [Box(name, name) for name in self.routers]
        for name, router in self.routers.items():
            delay = 0.0 if at_once else self.list_lag[name]
            if at_once:
                router.set_boxes(boxes, self.now)
                router.set_engines(listed, self.now)
            else:
                self.at(self.now + delay, self._deliver_list, name, listed)

    def _deliver_list(self, name: str, listed: list[Engine]) -> None:
        if name in self.routers:
            self._act(name, self.routers[name].set_engines(listed, self.now))

    def take_down(self, name: str) -> None:
        """An engine dies with all that runs there."""
        engine = self.engines[name]
        engine.up = False
        for call_id, (box, engine_name, _, _) in list(self._live.items()):
            if engine_name == name:
                self._fail(call_id, box, engine_name)
        engine.restart()
        self.publish()

    def bring_up(self, name: str) -> None:
        """An engine starts anew, with nothing cached."""
        self.engines[name].up = True
        self.publish()

    def drain_engine(self, name: str) -> None:
        """An engine is listed as leaving; what runs there ends by itself."""
        self.engines[name].up = False
        self.publish()

    def lose_box(self, name: str) -> None:
        """A box dies; its calls end at the engines some time later."""
        del self.routers[name]

    # Callers.

    def _arrive(self) -> None:
        self.at(self.now + self.chance.expovariate(self.rate), self._arrive)
        chat = self.crowd.next_turn()
        prompt, output = self.crowd.size(chat)
        box = self.chance.choice(sorted(self.routers))
        number = self.tally.calls
        self.tally.calls += 1
        chat.busy = True
        call = Call(
            f'call-{number}',
            chat.workspace,
            SERVICE,
            chat.name,
            Work(1, prompt + output),
            self.now + DEADLINE_SECONDS,
            hint=chat.hint if self.way.hints else '',
        )
        self._live[call.id] = (box, '', chat, (prompt, output))
        self._asked[call.id] = self.now
        began = time.perf_counter()
        decisions = self.routers[box].admit(call, self.now)
        self.tally.decision_seconds += time.perf_counter() - began
        self.tally.decisions += 1
        self._act(box, decisions)

    def _act(self, box: str, decisions: list) -> None:
        for decision in decisions:
            if isinstance(decision, Placed):
                self._begin(box, decision)
            elif isinstance(decision, Refused):
                self.tally.refused[decision.code] += 1
                self._end(decision.call_id)

    def _begin(self, box: str, placed: Placed) -> None:
        _, _, chat, (prompt, output) = self._live[placed.call_id]
        engine = self.engines[placed.engine]
        if not engine.up:
            self._fail(placed.call_id, box, placed.engine, not_sent=True)
            return
        self._live[placed.call_id] = (box, engine.name, chat, (prompt, output))
        cached = engine.read(chat.name, chat.prompt)
        self.tally.reusable += chat.seen
        self.tally.reused += min(cached, chat.seen)
        self.tally.spilled += placed.spilled
        chat.hint = hint_for(placed.engine)
        work = Work(1, prompt + output)
        engine.load += work
        self.tally.waits.append(self.now - self._asked.pop(placed.call_id, self.now))
        read_seconds = (prompt - cached) / PREFILL_RATE
        self.tally.reads.append(self.tally.waits[-1] + read_seconds)
        self.at(self.now + read_seconds, self._answer, box, placed.call_id)
        seconds = engine.seconds(prompt - cached, output)
        self.at(self.now + seconds, self._finish, placed.call_id, engine.incarnation, work)

    def _answer(self, box: str, call_id: str) -> None:
        if box in self.routers:
            self.routers[box].answer_started(call_id, self.now)

    def _finish(self, call_id: str, incarnation: int, work: Work) -> None:
        box, name, _, _ = self._live.get(call_id, ('', '', None, None))
        if not name or self.engines[name].incarnation != incarnation:
            return
        self.engines[name].load -= work
        self._end(call_id)
        if box in self.routers:
            decisions = self.routers[box].attempt_ended(call_id, Outcome.DONE, self.now)
            self._act(box, decisions + self.routers[box].close(call_id, self.now))

    def _fail(self, call_id: str, box: str, engine: str, not_sent: bool = False) -> None:
        """The call goes on elsewhere, as a repeatable one may."""
        if box not in self.routers:
            self._end(call_id)
            return
        router = self.routers[box]
        outcome = Outcome.NOT_SENT if not_sent else Outcome.BROKEN
        decisions = router.attempt_ended(call_id, outcome, self.now)
        router.exclude(call_id, engine)
        self._live[call_id] = (box, '', *self._live[call_id][2:])
        self._act(box, decisions + router.retry_call(call_id, self.now))

    def _end(self, call_id: str) -> None:
        _, _, chat, _ = self._live.pop(call_id)
        chat.busy = False
        chat.seen = chat.prompt
        self.crowd.grow(chat)

    # Boxes.

    def _tick(self, name: str) -> None:
        if name in self.routers:
            self._act(name, self.routers[name].tick(self.now))
            self.at(self.now + 0.05, self._tick, name)

    def _tell(self, name: str) -> None:
        if name not in self.routers:
            return
        if self.way.knowledge == 'digests':
            peers = [box.name for box in self.routers[name].boxes.neighbours()]
            self.chance.shuffle(peers)
            for peer in peers:
                if peer in self.routers and not self._tell_peer(name, peer):
                    break
        pause = self.way.digest_seconds * self.chance.uniform(0.9, 1.1)
        self.at(self.now + pause, self._tell, name)

    def _tell_peer(self, name: str, peer: str) -> bool:
        router = self.routers[name]
        (digest,) = router.digests_for([peer], Versions(1, 1), self.now)
        size = EncodedDigest(digest).size
        if not self.budgets[name].take(size, self.now):
            self.tally.denied += 1
            return False
        self.tally.bytes += size
        self.tally.messages += 1
        router.digests_sent([digest])
        self.at(self.now + self.deployment.latency, self._hear, peer, digest)
        return True

    def _hear(self, peer: str, digest) -> None:
        if peer in self.routers:
            self._act(peer, self.routers[peer].receive_digest(digest, self.now))

    def _sample(self) -> None:
        self.at(self.now + SAMPLE_SECONDS, self._sample)
        up = [engine.load for engine in self.engines.values() if engine.up]
        loads = {engine.name: engine.load for engine in self.engines.values()}
        self._history.append((self.now, loads))
        del self._history[:-100]
        mean = sum(load.requests for load in up) / len(up)
        if mean < MEAN_CALLS_MIN or self.now < WARM_UP_SECONDS:
            return
        self.tally.skew_calls.append(max(load.requests for load in up) / mean)
        tokens = sum(load.tokens for load in up) / len(up)
        self.tally.skew_tokens.append(max(load.tokens for load in up) / tokens)
