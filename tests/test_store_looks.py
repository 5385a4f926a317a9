"""Which boxes read the store while it seems to answer no watcher, and when."""

import math
import random

import testtools

from seamhold_messages.fleet import Box
from seamhold_routing import Router
from seamhold_routing.store_looks import (
    FIRST_LOOKS,
    LOOKS_MAX,
    STEP_SECONDS,
    StoreLooks,
    StoreProof,
)

SIZES = (8, 24, 195, 2700)
CUT_SHARE = 0.35
CHOICES = 100
#: Time from the begin of a doubt within which some box in touch has to look, in seconds.
LOOK_SECONDS = 0.4
FRESH_SECONDS = 1.6


class TestStoreProofs(testtools.TestCase):
    def test_nothing_is_in_doubt_before_the_first_answer(self):
        self.assertEqual(math.inf, StoreProof().doubted_at(FRESH_SECONDS))
        self.assertEqual(math.inf, StoreProof(None, 5.0).doubted_at(FRESH_SECONDS))

    def test_an_unanswered_watch_counts_until_a_later_answer(self):
        self.assertEqual(11.2, StoreProof(10.0, 11.2).doubted_at(FRESH_SECONDS))
        self.assertEqual(11.3 + FRESH_SECONDS, StoreProof(11.3, 11.2).doubted_at(FRESH_SECONDS))

    def test_silence_is_a_doubt_once_the_last_answer_is_too_old(self):
        self.assertEqual(10.0 + FRESH_SECONDS, StoreProof(10.0).doubted_at(FRESH_SECONDS))


class TestStoreLooks(testtools.TestCase):
    def due(self, boxes: int, seed: int) -> list[float]:
        """Return when each box would look, in seconds from the begin of the doubt, in order."""
        looks = [StoreLooks(random.Random(f'{seed}-{box}')) for box in range(boxes)]
        for look in looks:
            look.begins(0.0, boxes, -1.0)
        return [look.due_at for look in looks]

    def test_some_box_in_touch_looks_soon_whatever_third_of_the_boxes_is_cut(self):
        for boxes in SIZES:
            for choice in range(CHOICES):
                due = self.due(boxes, choice)
                random.Random(choice).shuffle(due)
                in_touch = due[round(CUT_SHARE * boxes) :]
                self.assertLess(min(in_touch), LOOK_SECONDS, (boxes, choice))

    def test_few_boxes_look_before_the_first_answer_is_known(self):
        for boxes in SIZES:
            early = [sum(at <= 2 * STEP_SECONDS for at in self.due(boxes, n)) for n in range(20)]
            self.assertLessEqual(sum(early) / len(early), 5 * FIRST_LOOKS)

    def test_a_store_that_answers_nobody_is_read_by_a_limited_number(self):
        for boxes in SIZES:
            looking = sum(math.isfinite(at) for at in self.due(boxes, 1))
            self.assertLessEqual(looking, 1.5 * LOOKS_MAX)

    def test_a_box_looks_once_a_doubt(self):
        looks = StoreLooks(random.Random(1))
        self.assertFalse(looks.begins(10.0, 3, 9.9))
        self.assertTrue(looks.begins(10.0, 3, 10.5))
        self.assertFalse(looks.begins(10.0, 3, 11.0))
        self.assertTrue(looks.begins(12.0, 3, 12.5))

    def test_a_box_that_hears_of_an_answer_does_not_look(self):
        looks = StoreLooks(random.Random(1))
        looks.begins(10.0, 1000, 9.9)
        self.assertFalse(looks.begins(11.6, 1000, 10.4))


class TestRoutersLook(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.router = Router('box-0', 'inc-0')
        self.router.set_boxes([Box(f'box-{n}', f'127.0.0.1:{n}') for n in range(3)], 0.0)
        self.router.exchange.watching = False

    def test_a_list_that_may_be_old_is_no_proof(self):
        self.router.store_answered(0.0)
        self.router.store_answered(1.5, is_fresh=False)
        self.assertTrue(self.router.store_in_doubt(2.0))
        self.router.store_answered(2.1)
        self.assertFalse(self.router.store_in_doubt(2.2))

    def test_a_watcher_and_a_box_that_lost_the_store_read_it_anyway(self):
        self.router.store_answered(0.0)
        self.router.exchange.watching = True
        self.assertFalse(self.router.begins_look(9.0))
        self.router.store_answered(10.0)
        self.router.exchange.watching = False
        self.assertTrue(self.router.begins_look(19.0))
