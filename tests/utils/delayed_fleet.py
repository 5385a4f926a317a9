"""Routers whose calls, answers and digests take their time, on a hand-set clock.

What real processes have and `gossip_fleet` has not: a call arrives some time after it
was decided, its answer's head is read some time after it was written, its end is noticed
late, and digests are late or lost.  Each of these delays is set by itself.
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
#: The promise counts over windows of so many seconds: it is broken by so many calls
#: that are as large a share of a window's.
WINDOW_SECONDS = 5.0
ABOVE_CALLS = 20
ABOVE_SHARE = 0.03
#: The part of a call after which its answer begins.
ANSWER_SECONDS = 0.1
CALL_TOKENS = 1000
BYTES_PER_SECOND = 8192
#: Peers that a box tells each time.
DIGEST_PEERS = 5
#: An engine that leaves serves on for so long.
DRAIN_SECONDS = 3.0
#: An engine that was held up goes on with all its calls within so long.
CATCH_UP_SECONDS = 0.1
#: Boxes look at calls that wait so often.
QUEUE_SECONDS = 0.05


class Delays(Struct, frozen=True):
    """How long each step takes, in seconds; each is drawn evenly from 0.5 to 1.5 of it.

    `arrival` is from the decision to the call's arrival at its engine, `head` from an
    engine's word to the decider of the box that hears it, `end` from a call's end at the
    engine to that, `digest` from a box to its peer, `figure` how old the load is that an
    engine tells.
    """

    arrival: float = 0.002
    head: float = 0.002
    end: float = 0.002
    digest: float = 0.001
    figure: float = 0.1


class Traffic(Struct, frozen=True):
    """What callers send: calls a second over all boxes, in clumps, one chat of them hot.

    A call runs `call_seconds` on the average.
    """

    calls_per_second: float = 235.0
    clump: int = 3
    chats: int = 600
    hot_share: float = 0.0
    call_seconds: float = 1.2


class Arrival(Struct, frozen=True):
    """A call that arrived: what its engine held with it, and what was believed."""

    at: float
    engine: str
    held: int
    mean: float
    believed: int
    believed_mean: float

    @property
    def above(self) -> bool:
        """Whether it met an engine above the promise."""
        return self.held > GUARANTEED_MULTIPLE * self.mean + GUARANTEED_EXTRA


class DelayedFleet:
    """Boxes before engines that tell their load; `tells` is off for those that do not."""

    def __init__(
        self,
        boxes: int,
        engines: int,
        delays: Delays,
        traffic: Traffic,
        seed: int = 1,
        slots: int = 64,
        tells: bool = True,
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
        #: Until then no digest that is sent arrives.
        self.deaf_until = 0.0
        self._tells = tells
        self._held_up_until: dict[str, float] = {}
        self._slots = slots
        self._chance = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._held: Counter[str] = Counter()
        self._past: dict[str, deque] = {engine.name: deque([(0.0, 0)]) for engine in self.engines}
        self._calls: dict[str, Call] = {}
        for box in self.boxes.values():
            self._every(DIGEST_SECONDS, self._tell, box)
            self._every(TICK_SECONDS, self._look, box)
            self._every(QUEUE_SECONDS, self._look_at_waits, box)
        self._at(self._chance.uniform(0, 0.1), self._clump)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        ends = self.now + seconds
        while self._events and self._events[0][0] <= ends:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = ends

    def add_engine(self) -> None:
        """An empty engine comes, which all boxes know at once."""
        number = next(self._numbers)
        name, address = f'engine-{number}', f'10.2.0.{number}:1'
        engine = Engine(name, SERVICE, address, incarnation='1', slots=self._slots)
        self.engines.append(engine)
        self._past[engine.name] = deque([(self.now, 0)])
        for box in self.boxes.values():
            box.names.add([engine.name])
        self._list_engines()

    def drain_engine(self, engine: Engine) -> None:
        """An engine says that it leaves: it ends some seconds later, and counts until then."""
        place = self.engines.index(engine)
        self.engines[place] = replace(engine, phase=Phase.LEAVING)
        self._list_engines()
        self._at(self.now + DRAIN_SECONDS, self._end_engine, self.engines[place])

    def _end_engine(self, engine: Engine) -> None:
        self.engines.remove(engine)
        self._list_engines()

    def hold_up(self, engine: Engine, seconds: float) -> None:
        """An engine reads long prompts: till then it begins and ends no answer."""
        self._held_up_until[engine.name] = self.now + seconds

    def _later(self, engine: str, act: Callable, *words) -> bool:
        """Whether something has to wait for an engine that is held up; it is done then."""
        until = self._held_up_until.get(engine, 0.0)
        if until > self.now:
            self._at(until + self._chance.uniform(0.0, CATCH_UP_SECONDS), act, *words)
            return True
        return False

    @property
    def ready_engines(self) -> list[Engine]:
        """The engines that do not leave."""
        return [engine for engine in self.engines if engine.phase is Phase.LIVE]

    def _list_engines(self) -> None:
        for box in self.boxes.values():
            self._decided(box, box.router.set_engines(list(self.engines), self.now))

    def broken_windows(self, since: float = 0.0) -> int:
        """In how many windows, one for each arrival, the promise was broken."""
        window: deque[Arrival] = deque()
        above = broken = 0
        for arrival in self.arrivals:
            if arrival.at < since:
                continue
            window.append(arrival)
            above += arrival.above
            while window[0].at <= arrival.at - WINDOW_SECONDS:
                above -= window.popleft().above
            broken += above >= ABOVE_CALLS and above > ABOVE_SHARE * len(window)
        return broken

    def above_share(self, since: float = 0.0) -> float:
        """The share of the calls that met an engine above the promise."""
        arrivals = [arrival for arrival in self.arrivals if arrival.at >= since]
        return sum(arrival.above for arrival in arrivals) / len(arrivals)

    def error_of_beliefs(self, since: float = 0.0) -> float:
        """What an engine held when a call arrived less what was believed, on the average."""
        arrivals = [arrival for arrival in self.arrivals if arrival.at >= since]
        return sum(arrival.held - 1 - arrival.believed for arrival in arrivals) / len(arrivals)

    def _at(self, at: float, act: Callable, *words) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), partial(act, *words)))

    def _after(self, mean_delay: float, act: Callable, *words) -> None:
        self._at(self.now + mean_delay * self._chance.uniform(0.5, 1.5), act, *words)

    def _every(self, seconds: float, act: Callable, box: GossipBox) -> None:
        def again():
            act(box)
            self._at(self.now + seconds, again)

        self._at(self._chance.uniform(0, seconds), again)

    # Callers.

    def _clump(self) -> None:
        box = self._chance.choice(list(self.boxes.values()))
        for _ in range(self.traffic.clump):
            self._call(box)
        pause = self._chance.expovariate(self.traffic.calls_per_second / self.traffic.clump)
        self._at(self.now + pause, self._clump)

    def _call(self, box: GossipBox) -> None:
        hot = self._chance.random() < self.traffic.hot_share
        chat = 'hot' if hot else self._chance.randrange(self.traffic.chats)
        call_id = f'call-{next(self._numbers)}'
        deadline = self.now + DEADLINE_SECONDS
        call = Call(call_id, 'w', SERVICE, f'chat-{chat}', Work(1, CALL_TOKENS), deadline)
        self._calls[call_id] = call
        self._decided(box, box.router.admit(call, self.now))

    def _decided(self, box: GossipBox, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Placed):
                self._after(self.delays.arrival, self._arrive, box, decision, self.now)
            elif isinstance(decision, Refused):
                self.refused += 1
                self._calls.pop(decision.call_id, None)

    # Engines.

    def _arrive(self, box: GossipBox, placed: Placed, sent_at: float) -> None:
        self._hold(placed.engine, 1)
        held = self._held[placed.engine]
        self.arrivals.append(
            Arrival(self.now, placed.engine, held, self.mean_load(), placed.load, placed.mean)
        )
        lasts = self.traffic.call_seconds * self._chance.uniform(0.25, 1.75)
        self._at(self.now + min(ANSWER_SECONDS, lasts), self._begin, box, placed, sent_at)
        self._at(self.now + lasts, self._end, box, placed)

    def _begin(self, box: GossipBox, placed: Placed, sent_at: float) -> None:
        if self._later(placed.engine, self._begin, box, placed, sent_at):
            return
        told = self._told(placed.engine)
        self._after(self.delays.head, self._hear_head, box, placed, told, sent_at)

    def _hear_head(self, box: GossipBox, placed: Placed, told: int, sent_at: float) -> None:
        box.router.answer_started(placed.call_id, self.now)
        if self._tells:
            box.router.record_engine_load(placed.engine, told, sent_at, self.now)

    def _end(self, box: GossipBox, placed: Placed) -> None:
        if self._later(placed.engine, self._end, box, placed):
            return
        self._hold(placed.engine, -1)
        self._after(self.delays.end, self._notice_end, box, placed)

    def _notice_end(self, box: GossipBox, placed: Placed) -> None:
        self._calls.pop(placed.call_id, None)
        router = box.router
        decisions = router.attempt_ended(placed.call_id, Outcome.DONE, self.now)
        self._decided(box, decisions + router.close(placed.call_id, self.now))

    def _hold(self, engine: str, change: int) -> None:
        self._held[engine] += change
        self._past[engine].append((self.now, self._held[engine]))

    def _told(self, engine: str) -> int:
        """The load as it was a while ago."""
        past = self._past[engine]
        while len(past) > 1 and past[1][0] <= self.now - self.delays.figure:
            past.popleft()
        return past[0][1]

    def mean_load(self) -> float:
        """Calls that an engine holds, on the average."""
        return sum(self._held[engine.name] for engine in self.engines) / len(self.engines)

    # Boxes.

    def _look(self, box: GossipBox) -> None:
        self._decided(box, box.router.tick(self.now))

    def _look_at_waits(self, box: GossipBox) -> None:
        if box.router.next_due(self.now) <= self.now:
            self._decided(box, box.router.tick(self.now))

    def _tell(self, box: GossipBox) -> None:
        names = [name for name in box.order.of(self.boxes) if name != box.router.box]
        names = names[: box.router.tree.fleet.control.digest_peers]
        digests = box.router.digests_for(names, Versions(), self.now)
        sent = []
        for name, digest in zip(names, digests, strict=True):
            encoded = EncodedDigest(digest)
            box.order.told(name)
            sent.append(encoded.digest)
            if self.now >= self.deaf_until:
                self._after(self.delays.digest, self._deliver, self.boxes[name], encoded)
        box.router.digests_sent(sent)

    def _deliver(self, box: GossipBox, encoded: EncodedDigest) -> None:
        digest = box.reader.read(encoded.data)
        if digest is not None:
            self._decided(box, box.router.receive_digest(digest, self.now))
