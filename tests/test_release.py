"""What survives where engines are replaced one after the other, on a hand-set clock.

The load is a release of a third of the engines while every chat returns within some
seconds: what only an engine that is gone has read is read anew.
"""

import random

import testtools
from msgspec.structs import replace

from seamhold_attempts.retry import Outcome
from seamhold_messages.fleet import Box, Engine, Phase
from seamhold_messages.work import Call, Work
from seamhold_routing import Router
from seamhold_settings import FleetSpec, Tree
from seamhold_settings.schema import Placement

SERVICE = 'llm'
ENGINES = 24
REPLACED = 8
CHATS = 200
CALLS_PER_SECOND = 25
CALL_SECONDS = 0.4
#: An engine that leaves serves on for so long, and one is replaced each so many seconds.
DRAIN_SECONDS = 3.0
GAP_SECONDS = 1.5
#: Of the calls in the release so large a share may read anew what was read before.
READ_AGAIN_MAX = 0.06


class TestRelease(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.chance = random.Random(3)
        self.router = Router('box', 'x')
        placement = Placement(patience=0.0, load_multiple=2.0, admit_share=0.85, floor_requests=3)
        self.router.use_settings(Tree(FleetSpec(placement=placement)))
        self.router.set_boxes([Box('box', '10.0.0.1:1')], 0.0)
        self.listed = {f'e{number}': self.engine(f'e{number}') for number in range(ENGINES)}
        self.router.set_engines([*self.listed.values()], 0.0)
        #: Chats by engine, as the engines themselves know them.
        self.held: dict[str, set[str]] = {name: set() for name in self.listed}
        self.running: list[tuple[float, str]] = []
        self.number = 0
        self.read_again = self.moved = 0

    def engine(self, name: str) -> Engine:
        return Engine(name, SERVICE, f'{name}:80', 'a', name, slots=12)

    def call(self, now: float) -> None:
        """One call of a chat that returns."""
        for ends, call_id in self.running:
            if ends <= now:
                self.router.attempted(call_id, Outcome.DONE, now)
                self.router.close(call_id, now)
        self.running = [one for one in self.running if one[0] > now]
        self.number += 1
        chat = f'chat-{self.chance.randrange(CHATS)}'
        asked = Call(f'c{self.number}', 'w', SERVICE, chat, Work(1, 1), now + 9.0)
        (placed,) = self.router.admit(asked, now)
        self.running.append((now + CALL_SECONDS, asked.id))
        if chat not in self.held[placed.engine]:
            fetched = chat in self.held.get(placed.fetch_engine, ())
            known = any(chat in held for held in self.seen.values())
            self.moved += fetched
            self.read_again += known and not fetched
        self.held[placed.engine].add(chat)
        self.seen.setdefault(placed.engine, set()).add(chat)

    def play(self, begins: float, seconds: float) -> float:
        """Let calls come for so long; when that is over."""
        for number in range(int(seconds * CALLS_PER_SECOND)):
            self.call(begins + number / CALLS_PER_SECOND)
        return begins + seconds

    def release(self, now: float) -> float:
        """Replace a third of the engines, the new one first; when that is over."""
        gone: list[tuple[float, str]] = []
        for number in range(REPLACED):
            self.listed[f'new{number}'] = self.engine(f'new{number}')
            self.held[f'new{number}'] = set()
            leaving = f'e{number}'
            self.listed[leaving] = replace(self.listed[leaving], phase=Phase.LEAVING)
            gone.append((now + DRAIN_SECONDS, leaving))
            for ends, name in gone:
                if ends <= now and self.listed.pop(name, None):
                    self.held[name] = set()
            self.router.set_engines([*self.listed.values()], now)
            now = self.play(now, GAP_SECONDS)
        return now

    def test_most_of_what_leaving_engines_hold_is_kept(self):
        self.seen: dict[str, set[str]] = {}
        now = self.play(0.0, 30.0)
        self.read_again = self.moved = self.number = 0
        self.release(now)
        self.assertLess(self.read_again / self.number, READ_AGAIN_MAX)

    def test_in_calm_no_chat_is_copied(self):
        self.seen = {}
        now = self.play(0.0, 30.0)
        self.moved = 0
        self.play(now, 10.0)
        self.assertLess(self.moved, 3)
