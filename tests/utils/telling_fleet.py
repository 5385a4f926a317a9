"""Routers that tell each other their digests within a byte budget, with a hand-set clock."""

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
LOOK_SECONDS = 0.5
CALL_SECONDS = 0.5
#: Into its call an engine begins to answer, and tells its load.
ANSWER_SECONDS = 0.1
DEADLINE_SECONDS = 10.0
SLOTS = 64
#: The promise that is checked: this multiple of the mean, and so many calls more.
PROMISED_MULTIPLE = 2.0
PROMISED_MORE = 3


class TellingBox:
    """One router with its budget; what it tells is encoded as it travels."""

    def __init__(self, name: str, boxes: list[Box], engines: list[Engine], control: Control):
        self.router = Router(name, f'{name}-start')
        placement = Placement(
            patience=0.0, load_multiple=PROMISED_MULTIPLE, admit_share=0.85, floor_requests=3
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
        self.tells_at = 0.0
        self.looks_at = 0.0


class Running(Struct):
    """A call at an engine."""

    box: TellingBox
    call: Call
    engine: str
    answers_at: float
    ends_at: float
    answered: bool = False


class TellingFleet:
    """Boxes that all place calls and tell each other; pairs may be cut.

    With `engines_tell` each answer tells what runs at its engine.  `chats` is how many
    chats there are, a new one for each call if it is 0.
    """

    def __init__(
        self,
        boxes: int,
        engines: int,
        bytes_per_second: int,
        engines_tell: bool = False,
        chats: int = 0,
    ):
        control = Control(control_bytes_per_second=bytes_per_second, digest_seconds=DIGEST_SECONDS)
        listed = [Box(f'box-{number}', f'10.0.0.{number}:1') for number in range(boxes)]
        self.engines = [
            Engine(f'engine-{number}', SERVICE, f'10.1.0.{number}:1', incarnation='1', slots=SLOTS)
            for number in range(engines)
        ]
        self.boxes = {
            box.name: TellingBox(box.name, listed, self.engines, control) for box in listed
        }
        self.now = 0.0
        #: Boxes that hear and reach no others.
        self.cut: set[str] = set()
        #: Engines that no call reaches.
        self.dead: set[str] = set()
        self.placed = 0
        #: Calls that met an engine above what is promised.
        self.above = 0
        self.bytes_sent = 0
        #: Engines by chat that have read it, and the calls that read one anew though an
        #: engine that serves held it.
        self.read: dict[str, set[str]] = defaultdict(set)
        self.read_again = 0
        self._engines_tell = engines_tell
        self._chats = chats
        self._numbers = itertools.count()
        self._running: list[Running] = []
        self._at: Counter[str] = Counter()
        self._chance = random.Random(1)
        for box in self.boxes.values():
            box.tells_at = self._chance.uniform(0.0, DIGEST_SECONDS)
            box.looks_at = self._chance.uniform(0.0, LOOK_SECONDS)

    def run(self, seconds: float, calls_per_second: float) -> None:
        """Let time pass while each box gets so many calls a second."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += STEP_SECONDS
            self._end_calls()
            for box in self.boxes.values():
                if self._chance.random() < calls_per_second * STEP_SECONDS:
                    self._call(box)
                if self.now >= box.looks_at:
                    box.looks_at = self.now + LOOK_SECONDS
                    box.router.tick(self.now)
                if self.now >= box.tells_at:
                    box.tells_at += DIGEST_SECONDS
                    self._tell(box)

    def replace_engine(self, number: int) -> None:
        """An engine goes and another comes; all boxes know it at once."""
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
        """All boxes start anew at once; what they ran goes on at the engines."""
        for name, box in self.boxes.items():
            control = box.router.tree.fleet.control
            listed = [Box(other, f'{other}:1') for other in self.boxes]
            self.boxes[name] = fresh = TellingBox(name, listed, self.engines, control)
            fresh.router.exchange._incarnation = f'{name}-again'
            fresh.router.set_engines(self.engines, self.now)
            fresh.router.set_boxes(listed, self.now)
            fresh.budget = box.budget
            fresh.tells_at = fresh.looks_at = self.now
        for running in self._running:
            running.answered = True

    def _call(self, box: TellingBox) -> None:
        number = next(self._numbers)
        chat = self._chance.randrange(self._chats) if self._chats else number
        deadline = self.now + DEADLINE_SECONDS
        call = Call(f'call-{number}', 'w', SERVICE, f'chat-{chat}', Work(1, 1), deadline)
        (placed,) = box.router.admit(call, self.now)
        if not isinstance(placed, Placed):
            return
        if placed.engine in self.dead:
            box.router.attempted(call.id, Outcome.NOT_SENT, self.now)
            box.router.close(call.id, self.now)
            return
        self._at[placed.engine] += 1
        self.placed += 1
        held = self.read[call.chat]
        self.read_again += bool(held) and not held & {placed.engine, placed.fetch_engine}
        held.add(placed.engine)
        allowed = PROMISED_MULTIPLE * self.mean_load() + PROMISED_MORE
        self.above += self._at[placed.engine] > allowed
        answers_at, ends_at = self.now + ANSWER_SECONDS, self.now + CALL_SECONDS
        self._running.append(Running(box, call, placed.engine, answers_at, ends_at))

    def _end_calls(self) -> None:
        left = []
        for running in self._running:
            router = running.box.router
            if not running.answered and running.answers_at <= self.now:
                running.answered = True
                router.began(running.call.id, self.now)
                if self._engines_tell:
                    requests = self._at[running.engine]
                    sent_at = running.answers_at - ANSWER_SECONDS
                    router.engine_told(running.engine, requests, sent_at, self.now)
            if running.ends_at > self.now:
                left.append(running)
                continue
            self._at[running.engine] -= 1
            router.attempted(running.call.id, Outcome.DONE, self.now)
            router.close(running.call.id, self.now)
        self._running = left

    def _tell(self, box: TellingBox) -> None:
        near = {other.name for other in box.router.boxes.neighbours()}
        most = box.router.tree.fleet.control.digest_peers
        names = [name for name in box.order.ordered(self.boxes) if name in near][:most]
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

    def _deliver(self, box: TellingBox, encoded: EncodedDigest) -> None:
        digest = box.reader.read(encoded.data)
        if digest is not None:
            box.router.hear(digest, self.now)

    def mean_load(self) -> float:
        """Calls in flight at an engine, on the average."""
        return len(self._running) / (len(self.engines) - len(self.dead))

    def known_share(self) -> float:
        """What boxes believe of all calls in flight, over what there is."""
        truth = len(self._running)
        believed = [
            sum(box.router.loads.estimate(engine.name).requests for engine in self.engines)
            for box in self.boxes.values()
        ]
        return sum(believed) / len(believed) / truth
