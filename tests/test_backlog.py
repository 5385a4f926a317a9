"""The prediction of starts, the order by rank, and rejections found not to have been needed."""

import testtools

from seamhold_limits import WaitQueue
from seamhold_limits.backlog import (
    Elsewhere,
    Expectation,
    Pace,
    PlacementRate,
    return_seconds,
    seconds_until_start,
    unservable,
)
from seamhold_messages.work import Call, Priority, Work

PACE = Pace(0.1, 0.0)


def call(name, workspace='w', deadline=100.0, workspace_priority=0, priority=Priority.NORMAL):
    work = Work(1, 1)
    return Call(
        name, workspace, 's', name, work, deadline, priority, workspace_priority=workspace_priority
    )


def none_elsewhere(rank: int) -> Elsewhere:
    return Elsewhere()


class TestPrediction(testtools.TestCase):
    def test_only_the_calls_behind_the_room_in_time_are_rejected(self):
        """Guards against rejecting calls because of others that are rejected themselves."""
        deadlines = (0.15, 0.05, 0.25, 0.25, 0.35)
        waiting = [Expectation(1, deadline) for deadline in deadlines]
        self.assertEqual([1, 3], unservable(waiting, PACE, none_elsewhere, 0.0))

    def test_an_arrival_needs_a_margin(self):
        """Guards against holding calls that are rejected as soon as the pace drops a little."""
        waiting = [Expectation(1, 0.14, arrives=arrives) for arrives in (False, True)]
        self.assertEqual([[], [0]], [unservable([one], PACE, none_elsewhere, 0) for one in waiting])

    def test_false_counts_elsewhere_at_most_double_a_wait(self):
        wait = seconds_until_start(4, PACE, Elsewhere(10**9, 1))
        self.assertAlmostEqual(2 * seconds_until_start(4, PACE), wait)

    def test_more_urgent_arrivals_lengthen_the_wait_of_the_less_urgent(self):
        rate = PlacementRate()
        for step in range(40):
            rate.advance(True, 0.1 * step)
            rate.record_arrival(step % 2 * 5)
            rate.record_placed()
        self.assertAlmostEqual(0.5, rate.pace.overtaken[5], delta=0.05)
        self.assertEqual(0.0, rate.pace.overtaken[0])

    def test_the_pace_leaves_out_the_time_in_which_nothing_waits(self):
        rate = PlacementRate()
        for step in range(20):
            rate.advance(False, 1.0 * step + 0.9)
            rate.advance(True, 1.0 * step + 1.0)
            rate.record_placed()
        self.assertAlmostEqual(0.1, rate.pace.interval, delta=0.02)

    def test_a_stall_lasts_until_there_is_room(self):
        """Guards against rejecting calls because of a stall that has ended."""
        rate = PlacementRate()
        rate.advance(False, 0.0)
        rate.advance(True, 1.0)
        self.assertEqual(1.0, rate.pace.stall)
        rate.advance(False, 1.5)
        rate.record_room()
        self.assertEqual(0.0, rate.pace.stall)

    def test_time_before_the_first_measurement_is_no_stall(self):
        """Guards against rejecting all calls once the setting is turned on in a running box."""
        rate = PlacementRate()
        rate.advance(True, 3600.0)
        self.assertEqual(0.0, rate.pace.stall)

    def test_more_urgent_callers_return_first_and_none_together(self):
        seconds = [return_seconds(call(f'{n}', workspace_priority=n % 3), 1.0) for n in range(60)]
        self.assertEqual(60, len(set(seconds)))
        self.assertLess(max(seconds[0::3]), min(seconds[1::3]))
        self.assertTrue(all(1.0 <= one <= 2.0 for one in seconds))


class TestOrderByRank(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.queue = WaitQueue(size=4, aging_seconds=5.0)
        self.queue.predictive = True

    def order(self, now: float) -> list[str]:
        return [waiting.id for waiting in self.queue.peek(now)]

    def test_workspace_priority_precedes_route_priority_and_aging_both(self):
        self.queue.offer(call('low', workspace_priority=1, priority=Priority.INTERACTIVE), 0.0)
        self.queue.offer(call('high', workspace_priority=0, priority=Priority.BULK), 1.0)
        self.assertEqual(['high', 'low'], self.order(1.0))
        self.assertEqual(['low', 'high'], self.order(5.5))

    def test_workspaces_of_one_rank_alternate(self):
        for number in range(3):
            self.queue.offer(call(f'a{number}', 'a'), 0.0)
        self.queue.offer(call('b0', 'b'), 0.1)
        self.assertEqual(['a0', 'b0', 'a1', 'a2'], self.order(0.2))

    def test_a_full_queue_loses_its_least_urgent_newest_call(self):
        for number in range(4):
            self.queue.offer(call(f'{number}', workspace_priority=number // 2), number)
        refused = self.queue.offer(call('urgent'), 4.0)
        self.assertEqual([('3', 'fleet_full')], [(one.call_id, one.code) for one in refused])

    def test_a_rejection_before_room_came_in_time_is_counted_once(self):
        self.queue.offer(call('first'), 0.0)
        self.queue.reject_unservable(0.5)
        self.assertEqual(1, len(self.queue.offer(call('rejected', deadline=1.0), 0.5)))
        self.queue.remove('first', 0.6)
        for _ in range(2):
            self.queue.record_direct(call('later'), 0.7)
        self.assertEqual(1, self.queue.counts['rejected.unneeded'])
