"""Routers before model engines whose speed changes and is reported, on a simulated clock.

An engine processes prompts one after the other and caches those that it processed last; the first
event follows one step later. Each report of an engine's load and speed reaches the box that
receives the answer with an age of `info_seconds`, drawn anew each time.
"""

import random
from collections import OrderedDict

from msgspec import Struct, field
from msgspec.structs import replace

from seamhold_messages.work import Call, LoadReading, Placed, Work
from seamhold_settings import Tree

from .delayed_fleet import DEADLINE_SECONDS, SERVICE, DelayedFleet, Delays, Traffic
from .gossip_fleet import GossipBox

OBJECTIVE_SECONDS = 0.309
SLOTS = 48
PROMPT_TOKENS_PER_SECOND = 101_000.0
STEP_SECONDS = 0.00297
STEP_SECONDS_PER_CALL = 0.0001
#: Each chat shares a prompt of so many tokens, and each call adds a part of its own. With 6.7 calls
#: a second for each engine, prompts take about half of the engines' time.
SHARED_TOKENS = (1_000, 10_000)
OWN_TOKENS = (500, 7_500)
#: A call whose first event is late ends this long after it.
LAST_STEPS_SECONDS = 0.05
#: Number of chats whose prompts an engine caches.
CACHED_CHATS = 60
#: Each engine's speed is drawn anew at this interval: this share of them is slower by this.
SPEED_SECONDS = 0.6
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
#: Ages of reports, drawn between these.
INFO_SECONDS = (0.05, 2.0)
DELAYS = Delays(arrival=0.005, head=0.005, end=0.01, digest=0.02)


class _Engine(Struct):
    slowness: float = 1.0
    #: When the prompts that wait here will have been processed.
    busy_until: float = 0.0
    cached: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def process(self, chat: str) -> bool:
        """Cache the chat's prompt; return whether it was cached."""
        known = chat in self.cached
        self.cached[chat] = None
        self.cached.move_to_end(chat)
        if len(self.cached) > CACHED_CHATS:
            self.cached.popitem(last=False)
        return known


class SpeedFleet(DelayedFleet):
    """A fleet that records the seconds until each first event, from the call's arrival at its box.

    `reports` is what engines report as their speed: 'true', 'usual' (always the usual one),
    'false' (a random one) or '' (none). With `predicted` unset boxes place calls as if no engine
    reported a speed.
    """

    def __init__(
        self,
        boxes: int,
        engines: int = 30,
        traffic: Traffic | None = None,
        reports: str = 'true',
        predicted: bool = True,
        info_seconds: tuple[float, float] = INFO_SECONDS,
        slow_share: float = SLOW_SHARE,
        seed: int = 1,
    ):
        traffic = traffic or Traffic(calls_per_second=300.0, chats=600, hot_share=0.05)
        super().__init__(boxes, engines, DELAYS, traffic, seed, SLOTS)
        self.states = {engine.name: _Engine() for engine in self.engines}
        #: Seconds until each first event, with the call's arrival time.
        self.first_events: list[tuple[float, float]] = []
        #: The number of prompts that were processed although some engine had them cached.
        self.read_again = 0
        self._reports = reports
        self._info_seconds = info_seconds
        self._slow_share = slow_share
        self._arrived_at: dict[str, float] = {}
        for box in self.boxes.values():
            fleet = box.router.tree.fleet
            placement = replace(fleet.placement, predicted_placement=predicted)
            box.router.use_settings(Tree(replace(fleet, placement=placement)))
        self._traffic_rng = random.Random(f'{seed} traffic')
        self._speed_rng = random.Random(f'{seed} speeds')
        self._change_speeds()

    def _send_burst(self) -> None:
        # With a generator of its own the traffic of a seed is the same for all placements.
        rng = self._traffic_rng
        box = rng.choice(list(self.boxes.values()))
        for _ in range(self.traffic.burst):
            self._call(box)
        pause = rng.expovariate(self.traffic.calls_per_second / self.traffic.burst)
        self._at(self.now + pause, self._send_burst)

    def _change_speeds(self) -> None:
        for state in self.states.values():
            slow = self._speed_rng.random() < self._slow_share
            state.slowness = SLOW_FACTOR if slow else 1.0
        self._at(self.now + SPEED_SECONDS, self._change_speeds)

    def seconds_to_first_event(self, since: float) -> list[float]:
        """Return the times of the calls that arrived since then, the shortest first."""
        return sorted(seconds for at, seconds in self.first_events if at >= since)

    def _call(self, box: GossipBox) -> None:
        hot = self._traffic_rng.random() < self.traffic.hot_share
        number = 0 if hot else self._traffic_rng.randrange(1, self.traffic.chats)
        call_id = f'call-{next(self._ids)}'
        shared = _shared_tokens(number)
        own = self._traffic_rng.randint(*OWN_TOKENS)
        call = Call(
            call_id,
            'w',
            SERVICE,
            f'chat-{number}',
            Work(1, 1),
            self.now + DEADLINE_SECONDS,
            objective=OBJECTIVE_SECONDS,
            prompt_tokens=shared + own,
            shared_tokens=shared,
        )
        self._calls[call_id] = call
        self._arrived_at[call_id] = self.now
        self._handle_decisions(box, box.router.admit(call, self.now))

    def _arrive(self, box: GossipBox, placed: Placed, sent_at: float) -> None:
        call = self._calls[placed.call_id]
        state = self.states[placed.engine]
        known = any(call.chat in engine.cached for engine in self.states.values())
        super()._arrive(box, placed, sent_at)
        cached = state.process(call.chat)
        self.read_again += known and not cached
        tokens = call.prompt_tokens - (call.shared_tokens if cached else 0)
        start = max(self.now, state.busy_until)
        state.busy_until = start + tokens / PROMPT_TOKENS_PER_SECOND * state.slowness
        step = STEP_SECONDS + STEP_SECONDS_PER_CALL * self._held[placed.engine]
        self._at(state.busy_until + step * state.slowness, self._first_event, box, placed, sent_at)

    def _start_answer(self, box: GossipBox, placed: Placed, sent_at: float) -> None:
        """The first event starts the answer, not the time that `DelayedFleet` scheduled."""

    def _first_event(self, box: GossipBox, placed: Placed, sent_at: float) -> None:
        self._after(self.delays.head, self._receive_event, box, placed, sent_at)
        age = self._rng.uniform(*self._info_seconds)
        load = self._reported_load(placed.engine)
        self._at(self.now + age, self._receive_report, box, placed, load, self._speed(placed), age)

    def _speed(self, placed: Placed) -> float | None:
        if self._reports == 'true':
            return self.states[placed.engine].slowness
        if self._reports == 'false':
            return SLOW_FACTOR if self._rng.random() < SLOW_SHARE else 1.0
        return 1.0 if self._reports else None

    def _receive_event(self, box: GossipBox, placed: Placed, sent_at: float) -> None:
        arrived_at = self._arrived_at.pop(placed.call_id)
        self.first_events.append((arrived_at, self.now - arrived_at))
        box.router.answer_started(placed.call_id, self.now)

    def _receive_report(
        self, box: GossipBox, placed: Placed, load: int, slowness: float | None, age: float
    ) -> None:
        # Dated when the engine counted, unlike a report that arrives at once with an answer.
        exchange = box.router.exchange
        exchange.record_engine_load(LoadReading(placed.engine, load, age, slowness), self.now)
        if slowness is not None:
            exchange.record_speed(placed.engine, slowness, self.now - age)

    def _end(self, box: GossipBox, placed: Placed) -> None:
        if placed.call_id in self._arrived_at:
            # A call ends after its first event.
            busy_until = self.states[placed.engine].busy_until
            self._at(max(self.now, busy_until) + LAST_STEPS_SECONDS, self._end, box, placed)
            return
        super()._end(box, placed)


def _shared_tokens(chat: int) -> int:
    """Return the tokens of a chat's shared prompt, the same in all runs."""
    low, high = SHARED_TOKENS
    return low + (chat * 7919) % (high - low)
