"""Placement by the predicted time to the first event, where engines report their speed.

Guards against calls that go to an engine which takes 2.5 times as long while others are free.
`python -m measure speeds` prints the whole table, with 195 boxes.
"""

import random

import testtools

from measure.report import table
from measure.speeds import COLUMNS, play
from seamhold_attempts.retry import Outcome
from seamhold_membership import EngineView
from seamhold_messages.fleet import Engine
from seamhold_messages.work import Call, Placed, Queued, Work
from seamhold_placement import BoundPolicy, Candidate, SpeedTable, Totals
from seamhold_placement.fastest import choose_fastest
from seamhold_placement.prediction import MIN_RESPONSES, Basis, ResponseRates
from seamhold_placement.speed_trust import MIN_PAIRS, SpeedTrust
from seamhold_routing import Router
from seamhold_routing.health import SLOW_OBJECTIVES, EngineHealth
from seamhold_settings import FleetSpec, Tree
from seamhold_settings.schema import Placement

from .utils.delayed_fleet import Traffic
from .utils.speed_fleet import SpeedFleet

FRESH = (0.05, 0.05)
#: Share of calls beyond the objective that false speeds may add.
LATE_MARGIN = 0.01


class TestCallers(testtools.TestCase):
    """Compares the shares of late first events on the same traffic and speeds."""

    def compare(self, fleet: tuple, ways: tuple[str, ...], ages) -> list:
        rows = [play(*fleet, way, ages) for way in ("today's", *ways)]
        print('\n' + table(rows, COLUMNS))
        self.assertEqual([0] * len(rows), [row['violated'] for row in rows])
        return [row['late'] for row in rows]

    def test_8_boxes_with_speeds_just_reported(self):
        today, usual, predicted = self.compare(
            (8, 30, 4, 14.0), ('predicted, no speeds', 'predicted'), FRESH
        )
        self.assertLess(predicted, 0.8 * today)
        self.assertLess(predicted, usual)

    def test_8_boxes_with_false_speeds(self):
        today, false = self.compare((8, 30, 4, 14.0), ('predicted, false speeds',), FRESH)
        self.assertLess(false, today + LATE_MARGIN)

    def test_84_boxes_with_speeds_of_up_to_two_seconds(self):
        today, predicted = self.compare((84, 45, 1, 22.0), ('predicted',), (0.05, 2.0))
        self.assertLess(predicted, today)


class TestSlowEngines(testtools.TestCase):
    def test_a_service_of_slow_engines_keeps_all_in_use(self):
        fleet = SpeedFleet(8, traffic=Traffic(90.0, chats=600), slow_share=1.0)
        fleet.run(15.0)
        for box in fleet.boxes.values():
            (use,) = box.router.engine_uses(fleet.now)
            self.assertEqual({}, {why: count for why, count in use.unused.items() if count})

    def late_failures(self, speeds: SpeedTable, now: float) -> int:
        view = EngineView()
        view.set_list([Engine('a', 'llm', 'a:1')], 0.0)
        health = EngineHealth(view, speeds)
        health.sent('1', 'a', 0.3, 0.0)
        health.eject_outliers(['llm'], now)
        return len(health.new_reports('box-1', now)) or len(health.failures.totals(now))

    def test_an_answer_that_is_late_as_reported_is_no_evidence(self):
        speeds = SpeedTable()
        speeds.record('a', 2.5, 0.5)
        late = SLOW_OBJECTIVES * 0.3
        self.assertEqual(0, self.late_failures(speeds, late + 0.1))
        self.assertEqual(1, self.late_failures(speeds, 2.5 * late + 0.1))
        self.assertEqual(1, self.late_failures(SpeedTable(), late + 0.1))


class TestSpeedTrust(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.trust = SpeedTrust()
        self.rng = random.Random(1)

    def report(self, count: int, period: float, interval: float = 0.05) -> None:
        """Record reports of an engine whose speed is drawn anew every `period` seconds."""
        slowness = 1.0
        for number in range(count):
            if number % round(period / interval) == 0:
                slowness = 2.5 if self.rng.random() < 0.5 else 1.0
            self.trust.record_report('a', slowness, interval * number)

    def test_no_speed_is_trusted_before_enough_reports(self):
        self.report(MIN_PAIRS - 1, 0.6)
        self.assertEqual(0.0, self.trust.weight(0.05))
        self.assertEqual(self.trust.usual, self.trust.believed(2.5, 0.05))

    def test_a_speed_loses_its_weight_with_age(self):
        self.report(2000, 0.6)
        self.assertGreater(self.trust.weight(0.05), 0.8)
        self.assertLess(self.trust.weight(1.0), 0.3)
        self.assertEqual(0.0, self.trust.weight(100.0))

    def test_random_speeds_get_no_weight(self):
        self.report(2000, 0.05)
        self.assertLess(self.trust.weight(0.05), 0.1)

    def test_speeds_that_do_not_show_in_responses_get_no_weight(self):
        self.report(2000, 10.0)
        before = self.trust.truth
        for _ in range(500):
            self.trust.record_response(self.rng.choice((1.0, 2.5)), 0.05, 1.0)
        self.assertEqual(1.0, before)
        self.assertLess(self.trust.truth, 0.1)


class TestRates(testtools.TestCase):
    def test_rates_are_learned_from_responses(self):
        learned, rng = ResponseRates(), random.Random(1)
        for _ in range(400):
            tokens, calls = rng.randrange(20_000), rng.randrange(30)
            slowness, remote = rng.choice((1.0, 2.5)), rng.random() < 0.5
            seconds = slowness * (0.01 + 1e-5 * tokens + 0.002 * calls + 0.005 * remote)
            learned.record(Basis(tokens, calls, remote, slowness), seconds)
        self.assertAlmostEqual(0.125, learned.rates.seconds(10_000, 5, True), delta=0.003)

    def test_one_late_response_changes_little(self):
        learned = ResponseRates()
        for number in range(200):
            learned.record(Basis(1000 * (number % 9), number % 7, False, 1.0), 0.1)
        learned.record(Basis(1000, 1, False, 1.0), 60.0)
        for _ in range(16):
            learned.record(Basis(1000, 1, False, 1.0), 0.1)
        self.assertAlmostEqual(0.1, learned.rates.seconds(1000, 1, False), delta=0.02)


class TestChoice(testtools.TestCase):
    """Engine 'a' holds the prompt."""

    def choose(
        self,
        seconds: dict[str, float],
        loads: dict[str, int] | None = None,
        local: str = '',
        prefer_local: bool = False,
    ):
        loads = loads or dict.fromkeys(seconds, 4)
        engines = [
            Candidate(
                name, Work(loads[name], loads[name]), 48, holds=name == 'a', local=name in local
            )
            for name in seconds
        ]
        total = sum(loads.values())
        totals = Totals(len(engines), Work(total, total), own_calls=total)
        return choose_fastest(
            engines,
            totals,
            Work(1, 1),
            BoundPolicy(),
            lambda engine, holds: seconds[engine.name],
            random.Random(1),
            prefer_local=prefer_local,
        )

    def test_a_call_stays_at_a_holder_that_is_a_little_slower(self):
        self.assertEqual('a', self.choose({'a': 0.1, 'b': 0.09}).name)

    def test_a_call_leaves_a_holder_that_is_clearly_slower(self):
        self.assertEqual('b', self.choose({'a': 0.3, 'b': 0.1, 'c': 0.25}).name)

    def test_a_fast_engine_gets_no_more_than_its_bound(self):
        choice = self.choose({'a': 0.3, 'b': 0.01, 'c': 0.1}, {'a': 2, 'b': 12, 'c': 2})
        self.assertEqual('c', choice.name)

    def test_a_full_holder_that_is_faster_is_worth_waiting_for(self):
        choice = self.choose({'a': 0.02, 'b': 0.2}, {'a': 12, 'b': 2})
        self.assertEqual(('b', 0.02), (choice.name, choice.faster_at_holder))

    def test_a_call_that_reuses_no_cache_prefers_equal_engines_in_its_domain(self):
        choice = self.choose({'b': 0.1, 'c': 0.1, 'd': 0.1}, local='d', prefer_local=True)
        self.assertEqual('d', choice.name)


class TestRouter(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.router = self.started()

    def started(self, predicted: bool = True) -> Router:
        router = Router('box-1', 'start')
        placement = Placement(predicted_placement=predicted)
        router.use_settings(Tree(FleetSpec(placement=placement)))
        router.set_engines([Engine(name, 'llm', f'{name}:1', slots=48) for name in 'abc'], 0.0)
        return router

    def serve(self, router: Router, count: int, now: float, slowness: float | None) -> Placed:
        for number in range(count):
            at = now + 0.1 * number
            call_id = f'{now}-{number}'
            call = Call(call_id, 'w', 'llm', call_id, Work(1, 1), at + 9.0, prompt_tokens=900)
            placed = router.admit(call, at)[0]
            if isinstance(placed, Queued):
                (placed,) = router.tick(at + 0.1)
            router.record_engine_load(placed.engine, 1, at, at + 0.05, slowness)
            router.answer_started(call_id, at + 0.05)
            router.attempt_ended(call_id, Outcome.DONE, at + 0.06)
            router.close(call_id, at + 0.06)
        return placed

    def test_nothing_is_predicted_where_no_engine_reports_its_speed(self):
        self.assertIsNone(self.serve(self.router, 3 * MIN_RESPONSES, 0.0, None).predicted)
        self.assertEqual(0, self.router.counts['placed.predicted'])

    def test_nothing_is_predicted_after_engines_stop_reporting_their_speed(self):
        self.assertIsNotNone(self.serve(self.router, 3 * MIN_RESPONSES, 0.0, 1.0).predicted)
        self.assertIsNone(self.serve(self.router, 60, 30.0, None).predicted)

    def test_a_box_that_just_started_predicts_nothing(self):
        self.assertIsNone(self.serve(self.router, MIN_RESPONSES, 0.0, 1.0).predicted)

    def test_settings_can_switch_predictions_off(self):
        router = self.started(predicted=False)
        self.assertIsNone(self.serve(router, 3 * MIN_RESPONSES, 0.0, 1.0).predicted)
