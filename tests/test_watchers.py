"""Which boxes watch the platform's store, and when their watches end."""

from itertools import pairwise

import testtools

from seamhold_routing.watchers import (
    WATCH_INTERVAL_SECONDS,
    WATCHERS,
    WatcherSelection,
    WatchTurn,
)


class TestWatcherSelection(testtools.TestCase):
    LIVE = tuple(f'box-{number}' for number in range(195))
    SILENT = 1.0

    def watchers(self, selections: dict[str, WatcherSelection], now: float, lost=()) -> set[str]:
        return {
            name
            for name, selection in selections.items()
            if selection.watches(self.LIVE, lost, self.SILENT, now)
        }

    def selections(self) -> dict[str, WatcherSelection]:
        selections = {name: WatcherSelection(name) for name in self.LIVE}
        for selection in selections.values():
            selection.begin(0.0)
        return selections

    def test_a_fixed_number_of_boxes_of_the_whole_fleet_watch(self):
        self.assertEqual(WATCHERS, len(self.watchers(self.selections(), 0.5)))

    def test_watchers_without_heartbeats_are_replaced(self):
        selections = self.selections()
        first = self.watchers(selections, 0.5)
        dead = sorted(first)[:2]
        for selection in selections.values():
            for name in first - {*dead}:
                selection.record_heartbeat(name, 1.4)
        second = self.watchers(selections, 1.5)
        self.assertEqual(WATCHERS, len(second - {*dead}))
        self.assertTrue(first - {*dead} <= second)

    def test_replacements_that_are_silent_too_are_replaced_in_turn(self):
        selections = self.selections()
        seen = set()
        for step in range(4):
            seen |= self.watchers(selections, 0.5 + step * 1.1)
        self.assertEqual(4 * WATCHERS, len(seen))

    def test_a_box_that_lost_the_store_is_skipped_at_once(self):
        selections = self.selections()
        lost = self.watchers(selections, 0.5)
        self.assertEqual(WATCHERS, len(self.watchers(selections, 0.6, lost=lost) - lost))

    def test_a_watcher_whose_watch_is_not_answered_is_replaced_until_its_next_heartbeat(self):
        selections = self.selections()
        (deaf, *_) = sorted(self.watchers(selections, 0.5))
        for name, selection in selections.items():
            if name != deaf:
                selection.record_unanswered(deaf, 0.6)
        second = self.watchers(selections, 0.6)
        self.assertEqual(WATCHERS + 1, len(second))
        for selection in selections.values():
            selection.record_heartbeat(deaf, 0.7)
        self.assertEqual(WATCHERS, len(self.watchers(selections, 0.8)))

    def test_a_store_that_answers_no_watch_in_time_adds_no_more_watchers_than_usual(self):
        selections = self.selections()
        for step in range(5):
            for deaf in self.watchers(selections, 0.5):
                for name, selection in selections.items():
                    if name != deaf:
                        selection.record_unanswered(deaf, 0.5 + step / 100)
        self.assertLessEqual(len(self.watchers(selections, 0.6)), 2 * WATCHERS)

    def test_watchers_take_turns(self):
        selections = self.selections()
        turns = [selections[name].turn for name in self.watchers(selections, 0.5)]
        self.assertEqual(list(range(WATCHERS)), sorted(turn.position for turn in turns))
        self.assertEqual({WATCHERS}, {turn.watchers for turn in turns})

    def test_a_fleet_with_fewer_boxes_than_watchers_takes_shorter_turns(self):
        selection = WatcherSelection('box-1')
        selection.begin(0.0)
        self.assertTrue(selection.watches(('box-1', 'box-2'), ('box-2',), self.SILENT, 0.5))
        self.assertEqual(WatchTurn(0, 1), selection.turn)

    def test_some_watch_begins_every_second_after_a_change(self):
        change_at = 1000.25
        begins = []
        for position in range(WATCHERS):
            turn = WatchTurn(position, WATCHERS)
            at = change_at + turn.seconds(change_at)
            while at < change_at + 20.0:
                begins.append(at)
                at += turn.seconds(at)
        times = [change_at, *sorted(begins)]
        gaps = [after - before for before, after in pairwise(times)]
        self.assertLessEqual(max(gaps), WATCH_INTERVAL_SECONDS)
        self.assertEqual(20, len(begins))

    def test_watch_that_ends_just_before_its_turn_is_not_followed_by_a_very_short_one(self):
        turn = WatchTurn(1, WATCHERS)
        self.assertAlmostEqual(4.001, turn.seconds(1000.999))

    def test_a_watcher_that_returns_watches_again(self):
        selections = self.selections()
        first = self.watchers(selections, 0.5)
        self.watchers(selections, 1.6)
        for selection in selections.values():
            for name in first:
                selection.record_heartbeat(name, 2.0)
        self.assertEqual(first, self.watchers(selections, 2.1))
