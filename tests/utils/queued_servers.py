"""Routers before servers of few slots with a queue, which report no load, on a simulated clock."""

import random
from collections import deque
from collections.abc import Callable

from msgspec import Struct, field
from msgspec.structs import replace

from seamhold_attempts.retry import Outcome
from seamhold_messages.work import Call, Decision, Placed, Refused, Work
from seamhold_settings import Tree

from .delayed_fleet import SERVICE, DelayedFleet, Delays, Traffic
from .gossip_fleet import GossipBox

SLOTS = 6
QUEUE = 24
OBJECTIVE_SECONDS = 0.15
DEADLINE_SECONDS = 1.05
#: Servers change their speed at this interval: a share of them is slower by the factor.
SPEED_SECONDS = 0.6
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5


class _Server(Struct):
    running: int = 0
    slowness: float = 1.0
    #: Calls that wait for a slot, each a function that starts it.
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


class QueuedServers(DelayedFleet):
    """A fleet that records the seconds until each answer, from the call's arrival at its box."""

    def __init__(
        self, boxes: int, servers: int, calls_per_second: float, work: float, learned: bool, seed=1
    ):
        traffic = Traffic(calls_per_second, call_seconds=work)
        super().__init__(boxes, servers, Delays(), traffic, seed, SLOTS, reports_load=False)
        self._servers = {engine.name: _Server() for engine in self.engines}
        self._arrived_at: dict[str, float] = {}
        #: Seconds until each answer, with its arrival time; None if the call was not served.
        self.answers: list[tuple[float, float | None]] = []
        self.rejected = 0
        for box in self.boxes.values():
            fleet = box.router.tree.fleet
            placement = replace(fleet.placement, learned_concurrency=learned)
            box.router.use_settings(Tree(replace(fleet, placement=placement)))
        # Of its own, so that runs of one seed have the same slow times.
        self._speeds_rng = random.Random(f'speeds-{seed}')
        self._change_speeds()

    def share_in_objective(self, since: float = 0.0) -> float:
        """Return the fraction of the calls since then that were answered within the objective."""
        seconds = [answer for at, answer in self.answers if at >= since]
        return sum(one is not None and one <= OBJECTIVE_SECONDS for one in seconds) / len(seconds)

    def unserved_share(self, since: float = 0.0) -> float:
        """Return the fraction of the calls since then that were not answered."""
        seconds = [answer for at, answer in self.answers if at >= since]
        return sum(one is None for one in seconds) / len(seconds)

    def _change_speeds(self) -> None:
        for server in self._servers.values():
            server.slowness = SLOW_FACTOR if self._speeds_rng.random() < SLOW_SHARE else 1.0
        self._at(self.now + SPEED_SECONDS, self._change_speeds)

    def _new_call(self) -> Call:
        call_id = f'call-{next(self._ids)}'
        deadline = self.now + DEADLINE_SECONDS
        return Call(
            call_id,
            'w',
            SERVICE,
            call_id,
            Work(1, 1),
            deadline,
            sticky=False,
            objective=OBJECTIVE_SECONDS,
        )

    def _call(self, box: GossipBox) -> None:
        call = self._new_call()
        self._calls[call.id] = call
        self._arrived_at[call.id] = self.now
        self._handle_decisions(box, box.router.admit(call, self.now))

    def _handle_decisions(self, box: GossipBox, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Refused):
                self._record_answer(decision.call_id, served=False)
        super()._handle_decisions(box, decisions)

    def _record_answer(self, call_id: str, served: bool) -> None:
        at = self._arrived_at.pop(call_id)
        self.answers.append((at, self.now - at if served else None))

    def _arrive(self, box: GossipBox, placed: Placed, sent_at: float) -> None:
        server = self._servers[placed.engine]
        if server.running < SLOTS:
            self._run(box, placed)
        elif len(server.waiting) < QUEUE:
            server.waiting.append(lambda: self._run(box, placed))
        else:
            self.rejected += 1
            self._after(self.delays.head, self._notice_rejection, box, placed)

    def _run(self, box: GossipBox, placed: Placed) -> None:
        server = self._servers[placed.engine]
        server.running += 1
        work = self.traffic.call_seconds * self._rng.uniform(0.5, 1.5) * server.slowness
        self._at(self.now + work, self._finish, box, placed)

    def _finish(self, box: GossipBox, placed: Placed) -> None:
        server = self._servers[placed.engine]
        server.running -= 1
        if server.waiting:
            server.waiting.popleft()()
        self._after(self.delays.head, self._notice_answer, box, placed)

    def _notice_answer(self, box: GossipBox, placed: Placed) -> None:
        self._record_answer(placed.call_id, served=True)
        box.router.answer_started(placed.call_id, self.now)
        self._notice_end(box, placed)

    def _notice_rejection(self, box: GossipBox, placed: Placed) -> None:
        router = box.router
        decisions = router.attempt_ended(placed.call_id, Outcome.ENGINE_REFUSED, self.now)
        router.exclude(placed.call_id, placed.engine)
        decisions += router.retry_call(placed.call_id, self.now, placed.engine)
        self._handle_decisions(box, decisions)
