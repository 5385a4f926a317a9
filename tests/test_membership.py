"""The box view, neighbours, the event log and the byte budget."""

import random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold_membership import (
    BoxView,
    ByteBudget,
    Event,
    EventKind,
    EventLog,
)
from seamhold_membership.gossip import REPORTERS_FOR_GONE
from seamhold_membership.neighbours import neighbours
from seamhold_messages.fleet import Box, Phase


class TestBoxView(testtools.TestCase):
    def test_a_silent_neighbour_is_suspect(self):
        view = BoxView('me', silent_seconds=3)
        view.set_list([Box('me', 'x'), Box('other', 'y')], 0.0)
        view.record_message('other', '1', 1.0)
        self.assertEqual(['me', 'other'], view.live(3.9))
        self.assertEqual(['me'], view.live(4.1))
        self.assertEqual(['other'], view.silent(4.1))

    def test_a_restart_is_detected_and_ends_the_leaving_phase(self):
        view = BoxView('me')
        view.set_list([Box('other', 'y')], 0.0)
        self.assertFalse(view.record_message('other', '1', 1.0))
        view.mark_leaving('other', '1')
        self.assertEqual(Phase.LEAVING, view.phase('other', 1.0))
        self.assertTrue(view.record_message('other', '2', 2.0))
        self.assertEqual(Phase.LIVE, view.phase('other', 2.0))

    def test_a_box_that_is_no_neighbour_is_suspect_after_several_gone_reports(self):
        names = [f'box-{number}' for number in range(200)]
        view = BoxView('box-0')
        view.set_list([Box(name, name) for name in names], 0.0)
        adjacent = {box.name for box in view.neighbours()}
        other = next(name for name in names[1:] if name not in adjacent)
        self.assertEqual(Phase.LIVE, view.phase(other, 100.0))
        for reporter in ('box-7', 'box-8', 'box-9'):
            view.record_gone_report(other, reporter, 100.0)
        self.assertEqual(Phase.SUSPECT, view.phase(other, 101.0))
        self.assertEqual(Phase.LIVE, view.phase(other, 140.0))


class TestNeighbours(testtools.TestCase):
    def test_all_boxes_of_a_small_fleet_are_neighbours(self):
        names = [f'box-{number}' for number in range(20)]
        self.assertEqual(19, len(neighbours('box-3', names)))

    def test_a_large_fleet_is_connected_and_both_ends_agree(self):
        names = [f'box-{number}' for number in range(1200)]
        adjacent = {name: set(neighbours(name, names)) for name in names}
        for name in random.Random(1).sample(names, 50):
            self.assertTrue(all(name in adjacent[other] for other in adjacent[name]))
        reached, frontier = {names[0]}, {names[0]}
        steps = 0
        while frontier:
            frontier = {other for name in frontier for other in adjacent[name]} - reached
            reached |= frontier
            steps += bool(frontier)
        self.assertEqual(len(names), len(reached))
        self.assertLessEqual(steps, 5)
        self.assertLess(max(map(len, adjacent.values())), 40)


class TestEventLog(testtools.TestCase):
    def test_an_event_is_accepted_once_and_relayed_several_times(self):
        log = EventLog()
        event = Event(EventKind.ENGINE_LEAVING, 'e', '1', 'box')
        self.assertTrue(log.add(event, 8))
        self.assertFalse(log.add(event, 8))
        relays = 0
        while found := log.pending(4):
            log.record_relayed(found)
            relays += 1
        self.assertGreaterEqual(relays, 7)
        self.assertFalse(log.add(event, 8))

    def test_an_occurrence_is_accepted_from_a_limited_number_of_origins(self):
        log = EventLog()
        leaving = [Event(EventKind.ENGINE_LEAVING, 'e', '1', f'box-{n}') for n in range(80)]
        self.assertEqual(1, sum(log.add(event, 80) for event in leaving))
        gone = [Event(EventKind.BOX_GONE, 'b', '1', f'box-{n}') for n in range(80)]
        self.assertEqual(REPORTERS_FOR_GONE, sum(log.add(event, 80) for event in gone))
        self.assertTrue(log.add(Event(EventKind.ENGINE_LEAVING, 'e', '2', 'box-1'), 80))

    def test_events_are_sent_in_order_of_kind(self):
        log = EventLog()
        log.add(Event(EventKind.BOX_GONE, 'b', '1'), 8)
        log.add(Event(EventKind.ENGINE_LEAVING, 'e', '1'), 8)
        self.assertEqual('e', log.pending(1)[0].subject)


class TestByteBudget(testtools.TestCase):
    @given(st.lists(st.tuples(st.integers(1, 3000), st.floats(0, 0.5))))
    def test_it_is_never_passed(self, sends):
        budget = ByteBudget(2048, 0.0)
        now = 0.0
        for size, gap in sends:
            now += gap
            budget.take(size, now)
            self.assertLessEqual(budget.spent, 2048 * (now + 1.0) + 1e-6)
