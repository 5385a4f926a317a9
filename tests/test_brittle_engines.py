"""Engines that say that they fall over if they turn away more than a few calls a second."""

import random

import testtools

from seamhold_attempts.retry import Outcome
from seamhold_membership import SelfReports
from seamhold_messages.fleet import Box, Engine
from seamhold_messages.work import Call, Placed, Queued, Refused, Work
from seamhold_routing import Router, Versions

SERVICE = 'llm'
BOXES = 8
ENGINES = 6
SLOTS = 4
CALLS_PER_BOX = 40
#: Places in an engine's queue while it is brittle.
PLACES = 2
#: Share of all slots that one box needs, and of its calls that must find one.
USED_SHARE = 0.5
SERVED_RATIO = 0.75


class TestBrittleEngines(testtools.TestCase):
    """Eight routers that hear nothing of each other, each with more calls than all engines bear."""

    def setUp(self):
        super().setUp()
        names = [f'box-{number}' for number in range(BOXES)]
        self.engines = [
            Engine(f'i-{number}', SERVICE, '', slots=SLOTS) for number in range(ENGINES)
        ]
        self.routers = [Router(name, name) for name in names]
        for router in self.routers:
            router.set_engines(self.engines, 0.0)
            router.set_boxes([Box(name, '') for name in names], 0.0)

    def say_brittle(self, brittle: bool = True, now: float = 0.0) -> None:
        for router in self.routers:
            router.engine_brittle('i-0', brittle, now)

    def held(self, now: float = 0.0) -> dict[str, int]:
        """Place calls at all boxes in random order; return how many each engine got."""
        held = dict.fromkeys((engine.name for engine in self.engines), 0)
        order = [*range(BOXES)] * CALLS_PER_BOX
        random.Random(1).shuffle(order)
        for number, box in enumerate(order):
            call = Call(str(number), 'w', SERVICE, str(number), Work(1, 1), now + 10.0)
            decision = self.routers[box].admit(call, now)[0]
            if isinstance(decision, Placed):
                held[decision.engine] += 1
        return held

    def test_all_boxes_together_send_a_brittle_engine_no_more_than_its_slots(self):
        self.say_brittle()
        self.assertEqual([SLOTS] * ENGINES, [*self.held().values()])

    def test_an_engine_that_is_not_brittle_may_be_filled_by_each_box(self):
        self.assertGreater(max(self.held().values()), SLOTS + PLACES)

    def test_a_box_that_gets_most_calls_may_use_most_slots(self):
        self.say_brittle()
        router, now = self.routers[0], 0.0
        # The other boxes report twice that they have no calls.
        for now in (0.3, 0.6):
            for other in self.routers[1:]:
                router.receive_digest(*other.digests_for(['box-0'], Versions(), now), now)
                other.receive_digest(*router.digests_for([other.box], Versions(), now), now)
        calls = round(USED_SHARE * ENGINES * SLOTS)
        decisions = [
            router.admit(Call(str(n), 'w', SERVICE, str(n), Work(1, 1), now + 9.0), now)[0]
            for n in range(calls)
        ]
        placed = sum(isinstance(decision, Placed) for decision in decisions)
        self.assertGreaterEqual(placed, SERVED_RATIO * calls)

    def test_a_later_answer_without_the_sign_ends_it(self):
        self.say_brittle()
        self.say_brittle(False, 1.0)
        self.assertGreater(max(self.held(1.0).values()), SLOTS + PLACES)

    def test_a_sign_that_is_not_repeated_ends(self):
        self.say_brittle()
        self.assertGreater(max(self.held(60.0).values()), SLOTS + PLACES)

    def test_a_box_without_a_share_rejects_calls_at_once(self):
        for router in self.routers:
            router.set_engines(self.engines[:1], 0.0)
        self.say_brittle()
        call = Call('1', 'w', SERVICE, '1', Work(1, 1), 10.0)
        decisions = [router.admit(call, 0.0)[0] for router in self.routers]
        placed = [isinstance(one, Placed) for one in decisions]
        self.assertEqual(SLOTS, sum(placed))
        refused = [one for one in decisions if isinstance(one, Refused)]
        self.assertEqual(BOXES - SLOTS, len(refused))

    def test_a_call_that_ends_makes_room_for_one_that_waits(self):
        self.say_brittle()
        router = self.routers[0]
        calls = [Call(str(n), 'w', SERVICE, str(n), Work(1, 1), 10.0) for n in range(30)]
        decisions = [router.admit(call, 0.0)[0] for call in calls]
        placed = [one for one in decisions if isinstance(one, Placed)]
        self.assertIsInstance(decisions[-1], Queued)
        freed = router.attempt_ended(placed[0].call_id, Outcome.DONE, 0.1)
        self.assertEqual(
            [placed[0].engine], [one.engine for one in freed if isinstance(one, Placed)]
        )

    def test_the_sign_is_of_one_start(self):
        reports = SelfReports()
        reports.mark_brittle('i-1@1', True, 0.0)
        self.assertTrue(reports.is_brittle('i-1@1', 1.0))
        self.assertFalse(reports.is_brittle('i-1@2', 1.0))
