"""How boxes follow the platform's lists."""

import random
import threading

import testtools

from seamhold.forwarding import followers
from seamhold.forwarding.followers import (
    ALONE_POLLS,
    STARTING_POLLS,
    EvacuationsFollower,
    ListSource,
    PolledListFollower,
    StoreWatch,
)
from seamhold.list_follower import box_from
from seamhold.listed import ListInUse
from seamhold.metrics import Metrics
from seamhold_messages.fleet import Box, Engine, Evacuation, is_update_for_engine
from seamhold_platform import ObjectKind, PlatformObject
from seamhold_platform.objects import Page

WAIT_SECONDS = 5.0


class AlwaysServed:
    """The store serves this box, and it is this box's turn."""

    def wanted(self) -> bool:
        return True

    def answered(self) -> None:
        """Nobody hears of it."""

    def wait_role(self) -> None:
        """It is known."""


class CountingStore:
    """A list of boxes; notes whether each reading may be an old one."""

    def __init__(self, names: list[str], readings: int):
        self.stale: list[bool] = []
        self.done = threading.Event()
        self._page = Page(
            [PlatformObject(name, {'peer_address': name}, '1') for name in names], '1'
        )
        self._readings = readings

    def list(self, kind: ObjectKind, stale: bool = False) -> Page:
        if len(self.stale) < self._readings:
            self.stale.append(stale)
        else:
            self.done.set()
        return self._page


class TestPolledList(testtools.TestCase):
    def readings(self, names: list[str], count: int) -> list[bool]:
        """Whether each of the first readings of this list of boxes may be old."""
        self.patch(followers, 'ALONE_POLL_SECONDS', 0.0)
        self.patch(followers, 'POLL_SECONDS', 0.0)
        store = CountingStore(names, count)
        known: list[Box] = []
        source = ListSource(
            store, Metrics(), random.Random(1), AlwaysServed(), lambda: self.fail('it is served')
        )
        follower = PolledListFollower(
            ObjectKind.BOXES, source, box_from, lambda boxes, _: known.extend(boxes), lambda: known
        )
        follower.start()
        self.assertTrue(store.done.wait(WAIT_SECONDS))
        follower.stop()
        return store.stale

    def test_a_box_that_stays_alone_looks_for_others_for_a_while_only(self):
        stale = self.readings(['me'], ALONE_POLLS + 5)
        self.assertEqual([False] * ALONE_POLLS + [True] * 5, stale)

    def test_a_box_that_knows_others_takes_what_may_be_old(self):
        fresh = [False] * STARTING_POLLS
        self.assertEqual([*fresh, True, True], self.readings(['me', 'other'], len(fresh) + 2))


class TestEvacuationsList(testtools.TestCase):
    def test_a_box_that_starts_takes_an_old_list_first_and_a_fresh_one_to_watch_from(self):
        store = CountingStore(['hall-a'], 2)
        found: list[Evacuation] = []
        source = ListSource(store, Metrics(), random.Random(1), AlwaysServed(), lambda: None)
        follower = EvacuationsFollower(
            ObjectKind.EVACUATIONS,
            source,
            lambda item: Evacuation(item.name),
            lambda listed, _: found.extend(listed),
            lambda: found or None,
        )
        follower._follow()
        self.assertEqual([True], store.stale)
        self.assertEqual([Evacuation('hall-a')], found)
        store.watch = lambda *_: follower.stop() or []
        follower._follow()
        self.assertEqual([True, False], store.stale)


class StartingDecider:
    """What a box that starts knows of the list of boxes."""

    def __init__(self, names: list[str] | None):
        self.boxes: ListInUse[Box] = ListInUse()
        if names is not None:
            self.boxes.put([Box(name, '') for name in names], 1)


class TestRole(testtools.TestCase):
    def waited(self, names: list[str] | None) -> list[float]:
        """The pauses before the first watch of a box that sees these boxes."""
        pauses: list[float] = []
        self.patch(followers, 'ALONE_SECONDS', 0.0)
        self.patch(followers.time, 'sleep', pauses.append)
        StoreWatch(StartingDecider(names), lambda: True).wait_role()
        return pauses

    def test_a_box_that_starts_beside_others_waits_for_their_heartbeats(self):
        (pause,) = self.waited(['me', 'other'])
        self.assertAlmostEqual(followers.ROLE_SECONDS, pause, delta=0.2)

    def test_a_box_that_is_alone_watches_at_once(self):
        self.assertEqual([], self.waited(['me']))
        self.assertEqual([], self.waited(None))


class TestNewsOfEngines(testtools.TestCase):
    def engine(self, cold_seconds: float, slots: int = 8) -> Engine:
        return Engine('e', 's', 'a', 'd', 'e', slots, cold_seconds=cold_seconds)

    def is_news(self, before: float, after: float) -> bool:
        return is_update_for_engine(self.engine(before), self.engine(after))

    def test_that_one_is_cold_for_less_than_before_is_none(self):
        self.assertFalse(self.is_news(3.0, 1.8))
        self.assertFalse(self.is_news(0.0, 0.0))

    def test_that_one_turns_cold_or_warm_is(self):
        self.assertTrue(self.is_news(0.0, 3.0))
        self.assertTrue(self.is_news(1.8, 3.0))
        self.assertTrue(self.is_news(0.6, 0.0))

    def test_whatever_else_changes_is(self):
        self.assertTrue(is_update_for_engine(self.engine(3.0), self.engine(1.8, slots=9)))
        self.assertTrue(is_update_for_engine(None, self.engine(1.8)))
        self.assertTrue(is_update_for_engine(self.engine(1.8), None))
