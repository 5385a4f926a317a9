"""Routers whose calls, answers and digests are delayed, on a simulated clock.

Simulates delays of real processes that `gossip_fleet` leaves out: a call arrives some time after
its placement, the head of its answer is read some time after it was sent, its end is noticed
late, and digests are late or lost. Each delay can be set separately.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from functools import partial

from msgspec import Struct
from msgspec.structs import replace

from seamhold_attempts.retry import Outcome
from seamhold_messages.fleet import Box, Engine, Phase
from seamhold_messages.work import Call, Decision, Placed, Refused, Work
from seamhold_peers import EncodedDigest
from seamhold_routing import Versions
from seamhold_settings.schema import Control

from .gossip_fleet import (
    DIGEST_SECONDS,
    GUARANTEED_EXTRA,
    GUARANTEED_MULTIPLE,
    SERVICE,
    TICK_SECONDS,
    GossipBox,
)

DEADLINE_SECONDS = 10.0
#: The guarantee is checked over windows of this length. A window violates it if at least
#: `ABOVE_CALLS` of its calls, and more than the fraction `ABOVE_SHARE`, exceed the bound.
WINDOW_SECONDS = 5.0
ABOVE_CALLS = 20
ABOVE_SHARE = 0.03
#: Time from a call's arrival to the start of its answer.
ANSWER_SECONDS = 0.1
CALL_TOKENS = 1000
BYTES_PER_SECOND = 8192
#: Number of peers that a box sends digests to each time.
DIGEST_PEERS = 5
#: Time for which a leaving engine continues to serve.
DRAIN_SECONDS = 3.0
#: Time within which a stalled engine resumes all its calls after the stall.
CATCH_UP_SECONDS = 0.1
#: Interval at which boxes check their waiting calls.
QUEUE_SECONDS = 0.05


class Delays(Struct, frozen=True):
    """Mean delays in seconds; each delay is drawn uniformly from 0.5 to 1.5 times the mean.

    `arrival` is from the placement of a call to its arrival at the engine, `head` from the start
    of an answer at the engine to the box's decider, `end` from the end of a call at the engine to
    the decider, and `digest` from a box to its peer. `load_age` is how old the load is that an
    engine reports; it does not vary.
    """

    arrival: float = 0.002
    head: float = 0.002
    end: float = 0.002
    digest: float = 0.001
    load_age: float = 0.1


class Traffic(Struct, frozen=True):
    """The calls that callers send to all boxes.

    Calls come in bursts of `burst` at one box. `hot_share` is the fraction of calls that belong
    to the one hot chat. `call_seconds` is the mean duration of a call.
    """

    calls_per_second: float = 235.0
    burst: int = 3
    chats: int = 600
    hot_share: float = 0.0
    call_seconds: float = 1.2


class Arrival(Struct, frozen=True):
    """A call that arrived at an engine, with the actual load and the load that its box assumed.

    `held` includes the call itself, `assumed` does not.
    """

    at: float
    engine: str
    held: int
    mean: float
    assumed: int
    assumed_mean: float

    @property
    def above(self) -> bool:
        """Return whether the engine exceeded the guaranteed bound."""
        return self.held > GUARANTEED_MULTIPLE * self.mean + GUARANTEED_EXTRA


class DelayedFleet:
    """Boxes and engines; with `reports_load` the engines report their load in answers."""

    def __init__(
        self,
        boxes: int,
        engines: int,
        delays: Delays,
        traffic: Traffic,
        seed: int = 1,
        slots: int = 64,
        reports_load: bool = True,
    ):
        control = Control(
            control_bytes_per_second=BYTES_PER_SECOND,
            digest_seconds=DIGEST_SECONDS,
            digest_peers=DIGEST_PEERS,
        )
        listed = [Box(f'box-{number}', f'10.0.0.{number}:1') for number in range(boxes)]
        self.engines = [
            Engine(f'engine-{number}', SERVICE, f'10.1.0.{number}:1', incarnation='1', slots=slots)
            for number in range(engines)
        ]
        self.boxes = {
            box.name: GossipBox(box.name, listed, self.engines, control) for box in listed
        }
        self.delays = delays
        self.traffic = traffic
        self.now = 0.0
        self.arrivals: list[Arrival] = []
        self.refused = 0
        #: Digests sent before this time are lost.
        self.digests_lost_until = 0.0
        self._reports_load = reports_load
        self._stalled_until: dict[str, float] = {}
        self._slots = slots
        self._rng = random.Random(seed)
        self._ids = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._held: Counter[str] = Counter()
        self._load_history: dict[str, deque] = {
            engine.name: deque([(0.0, 0)]) for engine in self.engines
        }
        self._calls: dict[str, Call] = {}
        for box in self.boxes.values():
            self._every(DIGEST_SECONDS, self._send_digests, box)
            self._every(TICK_SECONDS, self._tick, box)
            self._every(QUEUE_SECONDS, self._check_waiting, box)
        self._at(self._rng.uniform(0, 0.1), self._send_burst)

    def run(self, seconds: float) -> None:
        """Advance the clock by `seconds` and handle all events until then."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def add_engine(self) -> None:
        """Add an idle engine that all boxes learn of at once."""
        number = next(self._ids)
        name, address = f'engine-{number}', f'10.2.0.{number}:1'
        engine = Engine(name, SERVICE, address, incarnation='1', slots=self._slots)
        self.engines.append(engine)
        self._load_history[engine.name] = deque([(self.now, 0)])
        for box in self.boxes.values():
            box.names.add([engine.name])
        self._list_engines()

    def drain_engine(self, engine: Engine) -> None:
        """Mark an engine as leaving; it is removed after `DRAIN_SECONDS` and counts until then."""
        position = self.engines.index(engine)
        self.engines[position] = replace(engine, phase=Phase.LEAVING)
        self._list_engines()
        self._at(self.now + DRAIN_SECONDS, self._remove_engine, self.engines[position])

    def _remove_engine(self, engine: Engine) -> None:
        self.engines.remove(engine)
        self._list_engines()

    def stall_engine(self, engine: Engine, seconds: float) -> None:
        """Let an engine start and end no answers for `seconds`, as with long prompts."""
        self._stalled_until[engine.name] = self.now + seconds

    def _deferred(self, engine: str, action: Callable, *args) -> bool:
        """If the engine is stalled, schedule `action` for after the stall and return True."""
        until = self._stalled_until.get(engine, 0.0)
        if until > self.now:
            self._at(until + self._rng.uniform(0.0, CATCH_UP_SECONDS), action, *args)
            return True
        return False

    @property
    def ready_engines(self) -> list[Engine]:
        """The engines that are not leaving."""
        return [engine for engine in self.engines if engine.phase is Phase.LIVE]

    def _list_engines(self) -> None:
        for box in self.boxes.values():
            self._handle_decisions(box, box.router.set_engines(list(self.engines), self.now))

    def violated_windows(self, since: float = 0.0) -> int:
        """Count the windows, one ending at each arrival, that violate the guarantee."""
        window: deque[Arrival] = deque()
        above = violated = 0
        for arrival in self.arrivals:
            if arrival.at < since:
                continue
            window.append(arrival)
            above += arrival.above
            while window[0].at <= arrival.at - WINDOW_SECONDS:
                above -= window.popleft().above
            violated += above >= ABOVE_CALLS and above > ABOVE_SHARE * len(window)
        return violated

    def above_share(self, since: float = 0.0) -> float:
        """Return the fraction of calls whose engine exceeded the guaranteed bound."""
        arrivals = [arrival for arrival in self.arrivals if arrival.at >= since]
        return sum(arrival.above for arrival in arrivals) / len(arrivals)

    def mean_load_error(self, since: float = 0.0) -> float:
        """Return the mean of an engine's load before a call arrived minus the assumed load."""
        arrivals = [arrival for arrival in self.arrivals if arrival.at >= since]
        return sum(arrival.held - 1 - arrival.assumed for arrival in arrivals) / len(arrivals)

    def _at(self, at: float, action: Callable, *args) -> None:
        heapq.heappush(self._events, (at, next(self._ids), partial(action, *args)))

    def _after(self, mean_delay: float, action: Callable, *args) -> None:
        self._at(self.now + mean_delay * self._rng.uniform(0.5, 1.5), action, *args)

    def _every(self, seconds: float, action: Callable, box: GossipBox) -> None:
        def repeat():
            action(box)
            self._at(self.now + seconds, repeat)

        self._at(self._rng.uniform(0, seconds), repeat)

    # Callers.

    def _send_burst(self) -> None:
        box = self._rng.choice(list(self.boxes.values()))
        for _ in range(self.traffic.burst):
            self._call(box)
        pause = self._rng.expovariate(self.traffic.calls_per_second / self.traffic.burst)
        self._at(self.now + pause, self._send_burst)

    def _call(self, box: GossipBox) -> None:
        hot = self._rng.random() < self.traffic.hot_share
        chat = 'hot' if hot else self._rng.randrange(self.traffic.chats)
        call_id = f'call-{next(self._ids)}'
        deadline = self.now + DEADLINE_SECONDS
        call = Call(call_id, 'w', SERVICE, f'chat-{chat}', Work(1, CALL_TOKENS), deadline)
        self._calls[call_id] = call
        self._handle_decisions(box, box.router.admit(call, self.now))

    def _handle_decisions(self, box: GossipBox, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Placed):
                self._after(self.delays.arrival, self._arrive, box, decision, self.now)
            elif isinstance(decision, Refused):
                self.refused += 1
                self._calls.pop(decision.call_id, None)

    # Engines.

    def _arrive(self, box: GossipBox, placed: Placed, sent_at: float) -> None:
        self._change_held(placed.engine, 1)
        held = self._held[placed.engine]
        self.arrivals.append(
            Arrival(self.now, placed.engine, held, self.mean_load(), placed.load, placed.mean)
        )
        duration = self.traffic.call_seconds * self._rng.uniform(0.25, 1.75)
        self._at(self.now + min(ANSWER_SECONDS, duration), self._start_answer, box, placed, sent_at)
        self._at(self.now + duration, self._end, box, placed)

    def _start_answer(self, box: GossipBox, placed: Placed, sent_at: float) -> None:
        if self._deferred(placed.engine, self._start_answer, box, placed, sent_at):
            return
        load = self._reported_load(placed.engine)
        self._after(self.delays.head, self._receive_head, box, placed, load, sent_at)

    def _receive_head(self, box: GossipBox, placed: Placed, load: int, sent_at: float) -> None:
        box.router.answer_started(placed.call_id, self.now)
        if self._reports_load:
            box.router.record_engine_load(placed.engine, load, sent_at, self.now)

    def _end(self, box: GossipBox, placed: Placed) -> None:
        if self._deferred(placed.engine, self._end, box, placed):
            return
        self._change_held(placed.engine, -1)
        self._after(self.delays.end, self._notice_end, box, placed)

    def _notice_end(self, box: GossipBox, placed: Placed) -> None:
        self._calls.pop(placed.call_id, None)
        router = box.router
        decisions = router.attempt_ended(placed.call_id, Outcome.DONE, self.now)
        self._handle_decisions(box, decisions + router.close(placed.call_id, self.now))

    def _change_held(self, engine: str, change: int) -> None:
        self._held[engine] += change
        self._load_history[engine].append((self.now, self._held[engine]))

    def _reported_load(self, engine: str) -> int:
        """Return the engine's load as it was `load_age` seconds ago."""
        history = self._load_history[engine]
        while len(history) > 1 and history[1][0] <= self.now - self.delays.load_age:
            history.popleft()
        return history[0][1]

    def mean_load(self) -> float:
        """Return the mean number of calls per engine."""
        return sum(self._held[engine.name] for engine in self.engines) / len(self.engines)

    # Boxes.

    def _tick(self, box: GossipBox) -> None:
        self._handle_decisions(box, box.router.tick(self.now))

    def _check_waiting(self, box: GossipBox) -> None:
        if box.router.next_due(self.now) <= self.now:
            self._handle_decisions(box, box.router.tick(self.now))

    def _send_digests(self, box: GossipBox) -> None:
        names = [name for name in box.order.ordered(self.boxes) if name != box.router.box]
        names = names[: box.router.tree.fleet.control.digest_peers]
        digests = box.router.digests_for(names, Versions(), self.now)
        sent = []
        for name, digest in zip(names, digests, strict=True):
            encoded = EncodedDigest(digest)
            box.order.record_sent(name)
            sent.append(encoded.digest)
            if self.now >= self.digests_lost_until:
                self._after(self.delays.digest, self._deliver, self.boxes[name], encoded)
        box.router.digests_sent(sent)

    def _deliver(self, box: GossipBox, encoded: EncodedDigest) -> None:
        digest = box.reader.read(encoded.data)
        if digest is not None:
            self._handle_decisions(box, box.router.receive_digest(digest, self.now))
