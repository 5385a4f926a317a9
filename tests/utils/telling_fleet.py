"""Routers that tell each other their digests within a byte budget, with a hand-set clock."""

import itertools
import random

from seamhold.telling import TellingOrder
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
CALL_SECONDS = 0.5
DEADLINE_SECONDS = 10.0
USUAL_BYTES = 110


class TellingBox:
    """One router with its budget; what it tells is encoded as it travels."""

    def __init__(self, name: str, boxes: list[Box], engines: list[Engine], control: Control):
        self.router = Router(name, f'{name}-start')
        self.router.use_settings(
            Tree(FleetSpec(control=control, placement=Placement(patience=0.0)))
        )
        self.router.set_engines(engines, 0.0)
        self.router.set_boxes(boxes, 0.0)
        self.budget = ByteBudget(control.control_bytes_per_second, 0.0)
        self.order = TellingOrder(random.Random(name))
        names = NameTable()
        names.add(engine.name for engine in engines)
        self.reader = DigestReader(names)
        self.receiver = DigestReceiver()


class TellingFleet:
    """Boxes that all place calls and tell each other; pairs may be cut."""

    def __init__(self, boxes: int, engines: int, bytes_per_second: int):
        control = Control(control_bytes_per_second=bytes_per_second, digest_seconds=0.25)
        listed = [Box(f'box-{number}', f'10.0.0.{number}:1') for number in range(boxes)]
        self.engines = [
            Engine(f'engine-{number}', SERVICE, f'10.1.0.{number}:1', incarnation='1', slots=64)
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
        self._numbers = itertools.count()
        self._running: list[tuple[float, TellingBox, str]] = []
        self._chance = random.Random(1)

    def run(self, seconds: float, calls_per_second: float) -> None:
        """Let time pass while each box gets so many calls a second."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += STEP_SECONDS
            self._end_calls()
            for box in self.boxes.values():
                if self._chance.random() < calls_per_second * STEP_SECONDS:
                    self._call(box)
                box.router.tick(self.now)
                self._tell(box)

    def _call(self, box: TellingBox) -> None:
        number = next(self._numbers)
        deadline = self.now + DEADLINE_SECONDS
        call = Call(f'call-{number}', 'w', SERVICE, f'chat-{number}', Work(1, 1), deadline)
        (placed,) = box.router.admit(call, self.now)
        if not isinstance(placed, Placed):
            return
        if placed.engine in self.dead:
            box.router.attempted(call.id, Outcome.NOT_SENT, self.now)
            box.router.close(call.id, self.now)
        else:
            self._running.append((self.now + CALL_SECONDS, box, call.id))

    def _end_calls(self) -> None:
        left = []
        for ends, box, call_id in self._running:
            if ends > self.now:
                left.append((ends, box, call_id))
                continue
            box.router.attempted(call_id, Outcome.DONE, self.now)
            box.router.close(call_id, self.now)
        self._running = left

    def _tell(self, box: TellingBox) -> None:
        names = box.order.of(other for other in self.boxes if other != box.router.box)
        likely = 1 + box.budget.left(self.now) // USUAL_BYTES
        names = names[:likely]
        sent = []
        for name, digest in zip(
            names, box.router.digests_for(names, Versions(), self.now), strict=True
        ):
            encoded = EncodedDigest(digest)
            if not box.budget.take(encoded.size, self.now):
                break
            box.order.told(name)
            sent.append(encoded.digest)
            if not self.cut & {name, box.router.box}:
                self._deliver(self.boxes[name], encoded)
        box.router.digests_sent(sent)

    def _deliver(self, box: TellingBox, encoded: EncodedDigest) -> None:
        digest = box.reader.read(encoded.data)
        if digest is not None:
            box.router.hear(digest, self.now)

    def known_share(self) -> float:
        """What boxes believe of all calls in flight, over what there is."""
        truth = len(self._running)
        believed = [
            sum(box.router.loads.estimate(engine.name).requests for engine in self.engines)
            for box in self.boxes.values()
        ]
        return sum(believed) / len(believed) / truth
