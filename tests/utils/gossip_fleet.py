"""Routers that send each other digests within a byte budget, on a simulated clock."""

import itertools
import random
from collections import Counter, defaultdict

from msgspec import Struct

from seamhold.digest_order import DigestOrder
from seamhold_attempts.retry import Outcome
from seamhold_membership import ByteBudget, DigestReceiver
from seamhold_messages.fleet import Box, Engine
from seamhold_messages.work import Call, Placed, Work
from seamhold_peers import DigestReader, EncodedDigest, NameTable
from seamhold_routing import Router, Versions
from seamhold_settings import FleetSpec, Tree
from seamhold_settings.schema import Control, Placement

SERVICE = 'llm'
STEP_SECONDS = 0.05
DIGEST_SECONDS = 0.25
TICK_SECONDS = 0.5
CALL_SECONDS = 0.5
#: Time after the start of a call at which its engine begins to answer and reports its load.
ANSWER_SECONDS = 0.1
DEADLINE_SECONDS = 10.0
SLOTS = 64
#: The load guarantee under test: at most this multiple of the mean load, plus this many calls.
GUARANTEED_MULTIPLE = 2.0
GUARANTEED_EXTRA = 3


class GossipBox:
    """One router with its byte budget, and the encoder and reader of its digests."""

    def __init__(self, name: str, boxes: list[Box], engines: list[Engine], control: Control):
        self.router = Router(name, f'{name}-start')
        placement = Placement(
            patience=0.0, load_multiple=GUARANTEED_MULTIPLE, admit_share=0.85, floor_requests=3
        )
        self.router.use_settings(Tree(FleetSpec(control=control, placement=placement)))
        self.router.set_engines(engines, 0.0)
        self.router.set_boxes(boxes, 0.0)
        self.budget = ByteBudget(control.control_bytes_per_second, 0.0)
        self.order = DigestOrder(random.Random(name))
        names = self.names = NameTable()
        names.add(engine.name for engine in engines)
        names.add(box.name for box in boxes)
        self.reader = DigestReader(names)
        self.receiver = DigestReceiver()
        self.sends_at = 0.0
        self.ticks_at = 0.0


class Running(Struct):
    """A call at an engine."""

    box: GossipBox
    call: Call
    engine: str
    answers_at: float
    ends_at: float
    answered: bool = False


class GossipFleet:
    """Boxes that all place calls and send each other digests; some may be cut off.

    With `engines_report` each answer reports the calls that run at its engine.  `chats` is
    the number of chats; 0 makes a new one for each call.
    """

    def __init__(
        self,
        boxes: int,
        engines: int,
        bytes_per_second: int,
        engines_report: bool = False,
        chats: int = 0,
    ):
        control = Control(control_bytes_per_second=bytes_per_second, digest_seconds=DIGEST_SECONDS)
        listed = [Box(f'box-{number}', f'10.0.0.{number}:1') for number in range(boxes)]
        self.engines = [
            Engine(f'engine-{number}', SERVICE, f'10.1.0.{number}:1', incarnation='1', slots=SLOTS)
            for number in range(engines)
        ]
        self.boxes = {
            box.name: GossipBox(box.name, listed, self.engines, control) for box in listed
        }
        self.now = 0.0
        #: Boxes that neither receive from others nor reach them.
        self.cut: set[str] = set()
        #: Engines that are unreachable.
        self.dead: set[str] = set()
        self.placed = 0
        #: Calls placed at an engine above the guaranteed load.
        self.above = 0
        self.bytes_sent = 0
        #: Engines that have read each chat, and the number of calls that read a chat again
        #: although an engine that serves held it.
        self.read: dict[str, set[str]] = defaultdict(set)
        self.read_again = 0
        self._engines_report = engines_report
        self._chats = chats
        self._numbers = itertools.count()
        self._running: list[Running] = []
        self._in_flight: Counter[str] = Counter()
        self._rng = random.Random(1)
        for box in self.boxes.values():
            box.sends_at = self._rng.uniform(0.0, DIGEST_SECONDS)
            box.ticks_at = self._rng.uniform(0.0, TICK_SECONDS)

    def run(self, seconds: float, calls_per_second: float) -> None:
        """Simulate `seconds` in which each box gets `calls_per_second`."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += STEP_SECONDS
            self._end_calls()
            for box in self.boxes.values():
                if self._rng.random() < calls_per_second * STEP_SECONDS:
                    self._call(box)
                if self.now >= box.ticks_at:
                    box.ticks_at = self.now + TICK_SECONDS
                    box.router.tick(self.now)
                if self.now >= box.sends_at:
                    box.sends_at += DIGEST_SECONDS
                    self._send_digests(box)

    def replace_engine(self, number: int) -> None:
        """Replace an engine by a new one, which all boxes learn at once."""
        gone = self.engines[number]
        name = f'{gone.name}-next'
        self.engines[number] = Engine(
            name, SERVICE, f'{gone.address}1', incarnation='1', slots=SLOTS
        )
        for held in self.read.values():
            held.discard(gone.name)
        for box in self.boxes.values():
            box.names.add([name])
            box.router.set_engines(list(self.engines), self.now)

    def restart(self) -> None:
        """Restart all boxes at once; their calls continue at the engines."""
        for name, box in self.boxes.items():
            control = box.router.tree.fleet.control
            listed = [Box(other, f'{other}:1') for other in self.boxes]
            self.boxes[name] = fresh = GossipBox(name, listed, self.engines, control)
            fresh.router.exchange._incarnation = f'{name}-again'
            fresh.router.set_engines(self.engines, self.now)
            fresh.router.set_boxes(listed, self.now)
            fresh.budget = box.budget
            fresh.sends_at = fresh.ticks_at = self.now
        for running in self._running:
            running.answered = True

    def _call(self, box: GossipBox) -> None:
        number = next(self._numbers)
        chat = self._rng.randrange(self._chats) if self._chats else number
        deadline = self.now + DEADLINE_SECONDS
        call = Call(f'call-{number}', 'w', SERVICE, f'chat-{chat}', Work(1, 1), deadline)
        (placed,) = box.router.admit(call, self.now)
        if not isinstance(placed, Placed):
            return
        if placed.engine in self.dead:
            box.router.attempt_ended(call.id, Outcome.NOT_SENT, self.now)
            box.router.close(call.id, self.now)
            return
        self._in_flight[placed.engine] += 1
        self.placed += 1
        held = self.read[call.chat]
        self.read_again += bool(held) and not held & {placed.engine, placed.fetch_engine}
        held.add(placed.engine)
        limit = GUARANTEED_MULTIPLE * self.mean_load() + GUARANTEED_EXTRA
        self.above += self._in_flight[placed.engine] > limit
        answers_at, ends_at = self.now + ANSWER_SECONDS, self.now + CALL_SECONDS
        self._running.append(Running(box, call, placed.engine, answers_at, ends_at))

    def _end_calls(self) -> None:
        still_running = []
        for running in self._running:
            router = running.box.router
            if not running.answered and running.answers_at <= self.now:
                running.answered = True
                router.answer_started(running.call.id, self.now)
                if self._engines_report:
                    requests = self._in_flight[running.engine]
                    sent_at = running.answers_at - ANSWER_SECONDS
                    router.record_engine_load(running.engine, requests, sent_at, self.now)
            if running.ends_at > self.now:
                still_running.append(running)
                continue
            self._in_flight[running.engine] -= 1
            router.attempt_ended(running.call.id, Outcome.DONE, self.now)
            router.close(running.call.id, self.now)
        self._running = still_running

    def _send_digests(self, box: GossipBox) -> None:
        neighbours = {other.name for other in box.router.boxes.neighbours()}
        limit = box.router.tree.fleet.control.digest_peers
        names = [name for name in box.order.ordered(self.boxes) if name in neighbours][:limit]
        sent = []
        for name, digest in zip(
            names, box.router.digests_for(names, Versions(), self.now), strict=True
        ):
            encoded = EncodedDigest(digest)
            if not box.budget.take(encoded.size, self.now):
                break
            self.bytes_sent += encoded.size
            box.order.record_sent(name)
            sent.append(encoded.digest)
            if not self.cut & {name, box.router.box}:
                self._deliver(self.boxes[name], encoded)
        box.router.digests_sent(sent)

    def _deliver(self, box: GossipBox, encoded: EncodedDigest) -> None:
        digest = box.reader.read(encoded.data)
        if digest is not None:
            box.router.receive_digest(digest, self.now)

    def mean_load(self) -> float:
        """Return the mean number of calls in flight at an engine."""
        return len(self._running) / (len(self.engines) - len(self.dead))

    def estimated_share(self) -> float:
        """Return the mean of the boxes' estimates of all calls in flight, over their number."""
        actual = len(self._running)
        estimates = [
            sum(box.router.loads.estimate(engine.name).requests for engine in self.engines)
            for box in self.boxes.values()
        ]
        return sum(estimates) / len(estimates) / actual
