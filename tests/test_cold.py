"""The calls that cold engines get from all boxes together, on a simulated clock.

The load is that of a failure domain that comes back cold at full demand: 200 boxes send ten
times as many calls as its engines can serve.
"""

import random
from collections import Counter

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold_messages.fleet import Box, Engine
from seamhold_messages.work import Call, Placed, Work
from seamhold_placement import ColdShares
from seamhold_routing import Router
from seamhold_settings import FleetSpec, Tree
from seamhold_settings.schema import FleetService, Placement

SERVICE = 'llm'
BOXES = 200
COLD = 6
PER_SECOND = 13.0
#: Maximum rate that the requirements allow when the boxes' lists differ.
GUARANTEED_PER_SECOND = 24.5


def shares_of(boxes: list[str], listed: list[str] | None = None) -> list[ColdShares]:
    """Return the shares of `boxes`, computed from the list `listed` or else from `boxes`."""
    found = []
    for name in boxes:
        shares = ColdShares(name)
        shares.set_boxes(listed or boxes)
        found.append(shares)
    return found


class TestColdShares(testtools.TestCase):
    @given(st.integers(1, 300), st.floats(0.0, 400.0))
    def test_the_shares_of_all_boxes_add_up_to_the_rate(self, count, rate):
        boxes = shares_of([f'box-{number}' for number in range(count)])
        self.assertEqual(int(rate), sum(box.share('start', rate) for box in boxes))

    @given(st.randoms(use_true_random=False), st.integers(0, 6))
    def test_lists_that_differ_by_a_few_boxes_stay_within_the_guaranteed_rate(self, rng, missing):
        names = [f'box-{number}' for number in range(65)]
        total = 0
        for name in names:
            gone = rng.sample(names, missing)
            (box,) = shares_of([name], [other for other in names if other not in gone])
            total += box.share('start', PER_SECOND)
        self.assertLessEqual(total, GUARANTEED_PER_SECOND)

    @given(st.lists(st.floats(0.0, 5.0), max_size=60), st.integers(0, 9))
    def test_no_interval_of_a_second_exceeds_the_share(self, times, rate):
        (box,) = shares_of(['box'])
        sent = []
        for now in sorted(times):
            if box.allows('start', rate, now):
                box.record_sent('start', now)
                sent.append(now)
        for begins in sent:
            self.assertLessEqual(sum(begins <= at < begins + 1.0 for at in sent), rate)

    def test_different_incarnations_give_the_calls_to_different_boxes(self):
        boxes = shares_of([f'box-{number}' for number in range(65)])
        used = Counter(
            number
            for number, box in enumerate(boxes)
            for start in range(20)
            if box.share(f'start-{start}', PER_SECOND)
        )
        self.assertGreater(len(used), 60)

    def test_calls_older_than_a_second_are_removed(self):
        (box,) = shares_of(['box'])
        box.record_sent('start', 1.0)
        box.prune(2.5)
        self.assertEqual({}, box._sent_at)


class TestColdEngines(testtools.TestCase):
    """Routers that all place calls; a third of the engines are cold."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(5)
        self.engines = [
            Engine(
                f'e{number}',
                SERVICE,
                f'10.1.0.{number}:1',
                'a' if number < COLD else 'b',
                f'start-{number}',
                cold_seconds=3.0 if number < COLD else 0.0,
            )
            for number in range(3 * COLD)
        ]
        self.number = 0

    def router(self, name: str, boxes: list[Box]) -> Router:
        service = FleetService('plain', cold_seconds=3.0, cold_requests_per_second=PER_SECOND)
        fleet = FleetSpec(placement=Placement(patience=0.0), services={SERVICE: service})
        router = Router(name, 'x', failure_domain='a')
        router.use_settings(Tree(fleet))
        router.set_boxes(boxes, 0.0)
        router.set_engines(self.engines, 0.0)
        return router

    def play(self, routers: list[Router], seconds: float, calls: int) -> dict[str, list[float]]:
        """Place `calls` calls per second over all boxes; return each cold engine's call times."""
        arrived: dict[str, list[float]] = {engine.name: [] for engine in self.engines[:COLD]}
        for number in range(int(seconds * calls)):
            now = number / calls
            router = self.rng.choice(routers)
            call = Call(f'c{number}', 'w', SERVICE, f'chat-{number % 40}', Work(1, 1), now + 9)
            (decision, *_) = router.admit(call, now)
            if isinstance(decision, Placed) and decision.engine in arrived:
                arrived[decision.engine].append(now)
        return arrived

    def worst_second(self, arrived: dict[str, list[float]]) -> int:
        return max(
            sum(begins <= at < begins + 1.0 for at in times)
            for times in arrived.values()
            for begins in times
        )

    def test_200_boxes_together_stay_within_the_rate_of_an_engine(self):
        boxes = [Box(f'box-{number}', f'10.0.0.{number}:1') for number in range(BOXES)]
        routers = [self.router(box.name, boxes) for box in boxes]
        worst = self.worst_second(self.play(routers, 2.9, 1000))
        self.assertLessEqual(worst, PER_SECOND)
        self.assertGreater(worst, PER_SECOND / 3)

    def test_the_rate_holds_without_messages_between_boxes(self):
        # Boxes exchange no digests, and their lists differ by up to three boxes that start.
        boxes = [Box(f'box-{number}', f'10.0.0.{number}:1') for number in range(65)]
        routers = [
            self.router(box.name, boxes[: 62 + position % 4]) for position, box in enumerate(boxes)
        ]
        self.assertLessEqual(
            self.worst_second(self.play(routers, 2.9, 1000)), GUARANTEED_PER_SECOND
        )

    def test_an_engine_that_becomes_cold_again_is_limited_again(self):
        router = self.router('box', [Box('box', '10.0.0.1:1')])
        self.assertEqual(COLD, len(router.engines.serving(SERVICE, 1.0).cold))
        self.assertEqual(0, len(router.engines.serving(SERVICE, 3.0).cold))
        warm = [engine for engine in self.engines if not engine.cold_seconds]
        as_warm = [
            Engine(e.name, SERVICE, e.address, e.failure_domain, e.incarnation)
            for e in self.engines[:COLD]
        ]
        router.set_engines(as_warm + warm, 4.0)
        router.set_engines(self.engines, 5.0)
        self.assertEqual(COLD, len(router.engines.serving(SERVICE, 5.1).cold))

    def test_the_same_list_again_does_not_extend_the_cold_period(self):
        router = self.router('box', [Box('box', '10.0.0.1:1')])
        router.set_engines(list(self.engines), 2.9)
        self.assertEqual(0, len(router.engines.serving(SERVICE, 3.0).cold))

    def test_if_all_engines_are_cold_they_get_calls_up_to_their_rate(self):
        self.engines = self.engines[:COLD]
        router = self.router('box', [Box('box', '10.0.0.1:1')])
        arrived = self.play([router], 1.0, 400)
        self.assertEqual([PER_SECOND] * COLD, [len(times) for times in arrived.values()])
