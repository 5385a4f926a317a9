"""Routers before brittle engines, with digests that are late or lost, on a simulated clock."""

import heapq
import itertools
import random
from collections import Counter

from msgspec import Struct, field

from seamhold_messages.fleet import Box, Engine
from seamhold_messages.work import Call, Decision, Placed, Work
from seamhold_routing import Router, Versions

SERVICE = 'llm'
STEP_SECONDS = 0.05
DIGEST_SECONDS = 0.25
DIGEST_PEERS = 5
CALL_SECONDS = (0.2, 1.5)
PATIENCE_SECONDS = 1.0
#: An engine says this often that it is brittle.
SIGN_SECONDS = 1.0


class Network(Struct):
    """How digests travel: the share lost, and the longest delay in seconds."""

    loss: float = 0.0
    delay: float = 0.01


class FleetBox(Struct):
    """A box, its calls with the time at which each ends, and when it next sends digests."""

    router: Router
    digest_at: float
    #: How many calls it gets per second.
    rate: float = 0.0
    calls: dict[str, float] = field(default_factory=dict)
    told_at: dict[str, float] = field(default_factory=dict)
    listed: tuple[str, ...] = ()
    sign_at: float = 0.0


class BrittleFleet:
    """`boxes` boxes before `engines` engines; `most` is the most calls that any engine held."""

    def __init__(self, boxes: int, engines: int, slots: int, seed: int, network: Network):
        self.rng = random.Random(seed)
        self.network = network
        self.now = 0.0
        self.slots = slots
        self.engines = [
            Engine(f'i-{number}', SERVICE, '', slots=slots, incarnation=f'{seed}.{number}')
            for number in range(engines)
        ]
        self.listed = tuple(f'box-{number}' for number in range(boxes))
        self.boxes: dict[str, FleetBox] = {}
        self.cut: set[str] = set()
        #: Chance per step that a box is killed, cut off or connected again, or added.
        self.disturbance = 0.0
        self.most = 0
        self.placed = Counter()
        self._numbers = itertools.count()
        self._in_transit: list = []
        for name in self.listed:
            self.start(name)
            self.boxes[name].router.engine_brittle('i-0', True, 0.0)

    def start(self, name: str) -> None:
        """Start or restart a box; its name must be on the platform's list."""
        router = Router(name, f'{name}.{next(self._numbers)}')
        router.slots.enabled = True
        router.slots.wait_for_peers()
        router.set_engines(self.engines, self.now)
        self.boxes[name] = FleetBox(router, self.now + self.rng.random() * DIGEST_SECONDS)
        self.read_list(name)

    def kill(self, name: str) -> None:
        """End a box and its calls; the platform still lists it."""
        del self.boxes[name]

    def read_list(self, name: str) -> None:
        """Let a box read the platform's list."""
        box = self.boxes[name]
        box.listed = self.listed
        box.router.set_boxes([Box(other, '') for other in self.listed], self.now)

    def step(self) -> None:
        """Advance by `STEP_SECONDS`: calls come and end, digests are sent and arrive."""
        self.now += STEP_SECONDS
        names = list(self.boxes)
        self.rng.shuffle(names)
        self._deliver()
        for name in names:
            box = self.boxes[name]
            for call in [call for call, ends in box.calls.items() if ends <= self.now]:
                del box.calls[call]
                self._sign(box)
                self._start_calls(name, box.router.close(call, self.now))
            self._start_calls(name, box.router.tick(self.now))
            # A box that does not know that the engines are brittle is not limited by shares.
            if box.router.engines.is_brittle(SERVICE, self.now):
                for _ in range(int(box.rate * STEP_SECONDS + self.rng.random())):
                    self.call(name)
            if box.digest_at <= self.now:
                box.digest_at = self.now + DIGEST_SECONDS * self.rng.uniform(0.9, 1.1)
                self._send(name, box)

    def _sign(self, box: FleetBox) -> None:
        if box.sign_at <= self.now:
            box.sign_at = self.now + SIGN_SECONDS
            box.router.engine_brittle('i-0', True, self.now)

    def call(self, name: str) -> bool:
        """Send a call to a box; return whether it was placed at once."""
        work, deadline = Work(1, 100), self.now + PATIENCE_SECONDS
        number = str(next(self._numbers))
        call = Call(number, 'w', SERVICE, number, work, deadline, sticky=False)
        decisions = self.boxes[name].router.admit(call, self.now)
        self._start_calls(name, decisions)
        return isinstance(decisions[0], Placed)

    def _start_calls(self, name: str, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Placed):
                self.placed[name] += 1
                ends = self.now + self.rng.uniform(*CALL_SECONDS)
                self.boxes[name].calls[decision.call_id] = ends
                self.most = max(self.most, self.held(decision.engine))

    def held(self, engine: str) -> int:
        """Return how many calls all boxes hold at an engine."""
        return sum(box.router.loads.own_calls(engine) for box in self.boxes.values())

    def held_by(self, name: str) -> int:
        """Return how many calls one box holds at all engines."""
        return sum(self.boxes[name].router.loads.own_calls(one.name) for one in self.engines)

    def _send(self, name: str, box: FleetBox) -> None:
        peers = sorted(
            (peer for peer in box.listed if peer != name),
            key=lambda peer: (box.told_at.get(peer, -1.0), self.rng.random()),
        )[:DIGEST_PEERS]
        digests = box.router.digests_for(peers, Versions(), self.now)
        box.router.digests_sent(digests)
        for peer, digest in zip(peers, digests, strict=True):
            box.told_at[peer] = self.now
            if self.rng.random() >= self.network.loss and not self.cut & {name, peer}:
                at = self.now + self.rng.random() * self.network.delay
                heapq.heappush(self._in_transit, (at, next(self._numbers), peer, digest))

    def _deliver(self) -> None:
        while self._in_transit and self._in_transit[0][0] <= self.now:
            _, _, peer, digest = heapq.heappop(self._in_transit)
            if peer in self.boxes:
                self._start_calls(peer, self.boxes[peer].router.receive_digest(digest, self.now))
