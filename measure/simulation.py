"""Runs one router per box through a scenario on a simulated clock."""

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

from .fakes import PREFILL_RATE, Callers, Deployment, FakeEngine
from .policies import PlacementVariant

SERVICE = 'chat'
SAMPLE_SECONDS = 0.1
#: Samples with fewer calls per engine than this are too noisy to measure skew.
MIN_MEAN_CALLS = 4
#: Skew is measured once the load has built up.
WARM_UP_SECONDS = 15.0
CACHE_CHATS_MULTIPLE = 1.5
DEADLINE_SECONDS = 30.0


@dataclass
class Counts:
    """The counters and samples of a run."""

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
    """One table that all boxes share, as if each call were reported by a message at once."""


class ReportedLoads(LoadTable):
    """Loads from the engines' delayed reports, plus the calls that this box started since."""

    def __init__(self, engines: dict[str, FakeEngine], history: list, lag: float, clock):
        super().__init__()
        self._engines = engines
        self._history = history
        self._lag = lag
        self._clock = clock
        self._recent: dict[str, list] = {}

    def start(self, engine: str, work: Work) -> None:
        """Start work, and remember it until a report can include it."""
        super().start(engine, work)
        self._recent.setdefault(engine, []).append((self._clock(), work))

    def estimate(self, engine: str) -> Work:
        """Return the last report plus the work that this box started after it."""
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
        """Return the sum of all estimates."""
        load = Work()
        for engine in self._engines:
            load += self.estimate(engine)
        return load


class Simulation:
    """One run: boxes, engines and callers on a simulated clock."""

    def __init__(
        self,
        variant: PlacementVariant,
        deployment: Deployment,
        seed: int = 1,
        boxes: int = 8,
        engines: int = 10,
        scale: float = 1.0,
    ):
        self.now = 0.0
        self.variant = variant
        self.deployment = deployment
        self.rate = deployment.calls * scale
        self.rng = random.Random(seed)
        self.callers = Callers(deployment, random.Random(seed + 1), scale)
        self.counts = Counts()
        self.engines: dict[str, FakeEngine] = {}
        self._events: list = []
        self._order = itertools.count()
        self._history: list = []
        self._calls_in_flight: dict[str, tuple] = {}
        self._arrived_at: dict[str, float] = {}
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
        return round(chats * mean_prompt * CACHE_CHATS_MULTIPLE / engines)

    def _add_router(self, name: str, number: int) -> None:
        loads: LoadTable | None = None
        if self.variant.load_source == 'exact':
            loads = self._shared
        elif self.variant.load_source == 'reports':
            loads = ReportedLoads(
                self.engines, self._history, self.variant.report_lag, lambda: self.now
            )
        router = Router(name, '1', loads, self.variant.make_chooser(self._seed + number))
        router.use_settings(self._tree())
        self.routers[name] = router
        self.budgets[name] = ByteBudget(self.variant.budget, 0.0)

    def _tree(self) -> Tree:
        placement = Placement(
            load_multiple=10,
            admit_multiple=self.variant.admit,
            floor_requests=self.variant.floor,
            peer_growth=self.variant.growth,
            patience=self.variant.patience,
            rising_seconds=self.variant.rising,
        )
        fleet = FleetSpec(placement=placement, control=Control())
        spaces = range(self.deployment.workspaces)
        return Tree(fleet, {f'workspace-{number}': WorkspaceSpec() for number in spaces})

    # The clock.

    def at(self, when: float, action, *args) -> None:
        """Schedule an action for a time on the simulated clock."""
        heapq.heappush(self._events, (when, next(self._order), action, args))

    def run(self, seconds: float) -> Counts:
        """Run until the clock reaches `seconds`."""
        self.at(0.0, self._arrive)
        self.at(0.0, self._sample)
        for name in self.routers:
            self.at(self.rng.uniform(0, self.variant.digest_seconds), self._send_digests, name)
            self.at(self.rng.uniform(0, 0.05), self._tick, name)
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self.counts

    # Engines and lists.

    def add_engine(self, name: str, domain: str, cache: int) -> None:
        """Add an engine with an empty cache."""
        self.engines[name] = FakeEngine(name, domain, 64, cache)

    def publish(self, at_once: bool = False) -> None:
        """Send the platform's list to each box after that box's lag."""
        listed = [
            Engine(engine.name, SERVICE, engine.name, engine.domain, str(engine.incarnation), 64)
            for engine in self.engines.values()
            if engine.is_up
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
            self._apply_decisions(name, self.routers[name].set_engines(listed, self.now))

    def take_down(self, name: str) -> None:
        """Fail an engine and all calls that run there."""
        engine = self.engines[name]
        engine.is_up = False
        for call_id, (box, engine_name, _, _) in list(self._calls_in_flight.items()):
            if engine_name == name:
                self._fail(call_id, box, engine_name)
        engine.restart()
        self.publish()

    def bring_up(self, name: str) -> None:
        """Restart an engine with an empty cache."""
        self.engines[name].is_up = True
        self.publish()

    def drain_engine(self, name: str) -> None:
        """Remove an engine from the list; its running calls finish."""
        self.engines[name].is_up = False
        self.publish()

    def crash_box(self, name: str) -> None:
        """Crash a box; its calls end at the engines some time later."""
        del self.routers[name]

    # Callers.

    def _arrive(self) -> None:
        self.at(self.now + self.rng.expovariate(self.rate), self._arrive)
        chat = self.callers.next_turn()
        prompt, output = self.callers.size(chat)
        box = self.rng.choice(sorted(self.routers))
        number = self.counts.calls
        self.counts.calls += 1
        chat.busy = True
        call = Call(
            f'call-{number}',
            chat.workspace,
            SERVICE,
            chat.name,
            Work(1, prompt + output),
            self.now + DEADLINE_SECONDS,
            hint=chat.hint if self.variant.hints else '',
        )
        self._calls_in_flight[call.id] = (box, '', chat, (prompt, output))
        self._arrived_at[call.id] = self.now
        started = time.perf_counter()
        decisions = self.routers[box].admit(call, self.now)
        self.counts.decision_seconds += time.perf_counter() - started
        self.counts.decisions += 1
        self._apply_decisions(box, decisions)

    def _apply_decisions(self, box: str, decisions: list) -> None:
        for decision in decisions:
            if isinstance(decision, Placed):
                self._start_call(box, decision)
            elif isinstance(decision, Refused):
                self.counts.refused[decision.code] += 1
                self._end(decision.call_id)

    def _start_call(self, box: str, placed: Placed) -> None:
        _, _, chat, (prompt, output) = self._calls_in_flight[placed.call_id]
        engine = self.engines[placed.engine]
        if not engine.is_up:
            self._fail(placed.call_id, box, placed.engine, not_sent=True)
            return
        self._calls_in_flight[placed.call_id] = (box, engine.name, chat, (prompt, output))
        cached = engine.read(chat.name, chat.prompt)
        self.counts.reusable += chat.seen
        self.counts.reused += min(cached, chat.seen)
        self.counts.spilled += placed.spilled
        chat.hint = hint_for(placed.engine)
        work = Work(1, prompt + output)
        engine.load += work
        self.counts.waits.append(self.now - self._arrived_at.pop(placed.call_id, self.now))
        read_seconds = (prompt - cached) / PREFILL_RATE
        self.counts.reads.append(self.counts.waits[-1] + read_seconds)
        self.at(self.now + read_seconds, self._answer, box, placed.call_id)
        seconds = engine.seconds(prompt - cached, output)
        self.at(self.now + seconds, self._finish, placed.call_id, engine.incarnation, work)

    def _answer(self, box: str, call_id: str) -> None:
        if box in self.routers:
            self.routers[box].answer_started(call_id, self.now)

    def _finish(self, call_id: str, incarnation: int, work: Work) -> None:
        box, name, _, _ = self._calls_in_flight.get(call_id, ('', '', None, None))
        if not name or self.engines[name].incarnation != incarnation:
            return
        self.engines[name].load -= work
        self._end(call_id)
        if box in self.routers:
            decisions = self.routers[box].attempt_ended(call_id, Outcome.DONE, self.now)
            self._apply_decisions(box, decisions + self.routers[box].close(call_id, self.now))

    def _fail(self, call_id: str, box: str, engine: str, not_sent: bool = False) -> None:
        """Retry the call at another engine, as for a repeatable call."""
        if box not in self.routers:
            self._end(call_id)
            return
        router = self.routers[box]
        outcome = Outcome.NOT_SENT if not_sent else Outcome.BROKEN
        decisions = router.attempt_ended(call_id, outcome, self.now)
        router.exclude(call_id, engine)
        self._calls_in_flight[call_id] = (box, '', *self._calls_in_flight[call_id][2:])
        self._apply_decisions(box, decisions + router.retry_call(call_id, self.now))

    def _end(self, call_id: str) -> None:
        _, _, chat, _ = self._calls_in_flight.pop(call_id)
        chat.busy = False
        chat.seen = chat.prompt
        self.callers.grow(chat)

    # Boxes.

    def _tick(self, name: str) -> None:
        if name in self.routers:
            self._apply_decisions(name, self.routers[name].tick(self.now))
            self.at(self.now + 0.05, self._tick, name)

    def _send_digests(self, name: str) -> None:
        if name not in self.routers:
            return
        if self.variant.load_source == 'digests':
            peers = [box.name for box in self.routers[name].boxes.neighbours()]
            self.rng.shuffle(peers)
            for peer in peers:
                if peer in self.routers and not self._send_digest(name, peer):
                    break
        pause = self.variant.digest_seconds * self.rng.uniform(0.9, 1.1)
        self.at(self.now + pause, self._send_digests, name)

    def _send_digest(self, name: str, peer: str) -> bool:
        router = self.routers[name]
        (digest,) = router.digests_for([peer], Versions(1, 1), self.now)
        size = EncodedDigest(digest).size
        if not self.budgets[name].take(size, self.now):
            self.counts.denied += 1
            return False
        self.counts.bytes += size
        self.counts.messages += 1
        router.digests_sent([digest])
        self.at(self.now + self.deployment.latency, self._receive_digest, peer, digest)
        return True

    def _receive_digest(self, peer: str, digest) -> None:
        if peer in self.routers:
            self._apply_decisions(peer, self.routers[peer].receive_digest(digest, self.now))

    def _sample(self) -> None:
        self.at(self.now + SAMPLE_SECONDS, self._sample)
        up = [engine.load for engine in self.engines.values() if engine.is_up]
        loads = {engine.name: engine.load for engine in self.engines.values()}
        self._history.append((self.now, loads))
        del self._history[:-100]
        mean = sum(load.requests for load in up) / len(up)
        if mean < MIN_MEAN_CALLS or self.now < WARM_UP_SECONDS:
            return
        self.counts.skew_calls.append(max(load.requests for load in up) / mean)
        tokens = sum(load.tokens for load in up) / len(up)
        self.counts.skew_tokens.append(max(load.tokens for load in up) / tokens)
