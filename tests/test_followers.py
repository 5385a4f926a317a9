"""Tests how boxes follow the platform's lists."""

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
from seamhold.list_follower import box_from, engine_from
from seamhold.listed import ListInUse
from seamhold.metrics import Metrics
from seamhold_messages.errors import EntryUnsound
from seamhold_messages.fleet import Box, Engine, Evacuation, is_update_for_engine
from seamhold_platform import ObjectKind, PlatformObject
from seamhold_platform.objects import Page

WAIT_SECONDS = 5.0


class AlwaysServed:
    """A StoreWatch of a box that is a watcher and that the store serves."""

    look = 0

    def should_follow(self) -> bool:
        return True

    def on_answer(self, is_fresh: bool = True) -> None:
        """Do nothing; no box is informed."""

    def wait_for_role(self) -> None:
        """Return at once; the role is known."""

    def next_watch_seconds(self) -> float:
        return 1.0


class CountingStore:
    """A store with a list of boxes; records whether each read allows a stale list."""

    def __init__(self, names: list[str], reads: int):
        self.stale: list[bool] = []
        self.done = threading.Event()
        self._page = Page(
            [PlatformObject(name, {'peer_address': name}, '1') for name in names], '1'
        )
        self._reads = reads

    def list(self, kind: ObjectKind, stale: bool = False) -> Page:
        if len(self.stale) < self._reads:
            self.stale.append(stale)
        else:
            self.done.set()
        return self._page


class TestPolledList(testtools.TestCase):
    def stale_reads(self, names: list[str], count: int) -> list[bool]:
        """Return whether each of the first reads of this list of boxes allows a stale list."""
        self.patch(followers, 'ALONE_POLL_SECONDS', 0.0)
        self.patch(followers, 'POLL_SECONDS', 0.0)
        store = CountingStore(names, count)
        current: list[Box] = []
        source = ListSource(
            store,
            Metrics(),
            random.Random(1),
            AlwaysServed(),
            lambda: self.fail('the store serves this box'),
        )
        follower = PolledListFollower(
            ObjectKind.BOXES,
            source,
            box_from,
            lambda boxes, _: current.extend(boxes),
            lambda: current,
        )
        follower.start()
        self.assertTrue(store.done.wait(WAIT_SECONDS))
        follower.stop()
        return store.stale

    def test_box_without_peers_reads_fresh_lists_for_a_limited_time(self):
        stale = self.stale_reads(['me'], ALONE_POLLS + 5)
        self.assertEqual([False] * ALONE_POLLS + [True] * 5, stale)

    def test_box_with_peers_reads_stale_lists(self):
        fresh = [False] * STARTING_POLLS
        self.assertEqual([*fresh, True, True], self.stale_reads(['me', 'other'], len(fresh) + 2))


class TestEntriesOfTheProductsProtocol(testtools.TestCase):
    def test_an_entry_that_peers_or_headers_could_not_carry_is_invalid(self):
        valid = {'service': 'app', 'address': 'a:1', 'slots': 4}
        for changes in (
            {'service': '\ud83d'},
            {'address': 'a\n'},
            {'failure_domain': 'x' * 254},
            {'incarnation': 'caf\u00e9'},
            {'slots': 10**30},
            {'slots': -1},
            {'weight': 'inf'},
            {'weight': 'nan'},
        ):
            self.assertRaises(EntryUnsound, engine_from, PlatformObject('e', valid | changes))
        self.assertRaises(EntryUnsound, engine_from, PlatformObject('\u2603', valid))
        self.assertRaises(EntryUnsound, box_from, PlatformObject('b', {'peer_address': '\ud83d'}))
        self.assertEqual(4, engine_from(PlatformObject('e', valid)).slots)


class TestEvacuationsList(testtools.TestCase):
    def test_first_read_is_stale_and_the_one_before_a_watch_is_fresh(self):
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
    """A decider with the list of boxes that a starting box has."""

    def __init__(self, names: list[str] | None):
        self.boxes: ListInUse[Box] = ListInUse()
        if names is not None:
            self.boxes.put([Box(name, '') for name in names], 1)


class TestRole(testtools.TestCase):
    def pauses(self, names: list[str] | None) -> list[float]:
        """Return the pauses before the first watch of a box with this list of boxes."""
        pauses: list[float] = []
        self.patch(followers, 'ALONE_SECONDS', 0.0)
        self.patch(followers.time, 'sleep', pauses.append)
        StoreWatch(StartingDecider(names), lambda: True).wait_for_role()
        return pauses

    def test_starting_box_with_peers_waits_for_their_heartbeats(self):
        (pause,) = self.pauses(['me', 'other'])
        self.assertAlmostEqual(followers.ROLE_WAIT_SECONDS, pause, delta=0.2)

    def test_box_without_peers_watches_at_once(self):
        self.assertEqual([], self.pauses(['me']))
        self.assertEqual([], self.pauses(None))


class TestEngineUpdates(testtools.TestCase):
    def engine(self, cold_seconds: float, slots: int = 8) -> Engine:
        return Engine('e', 's', 'a', 'd', 'e', slots, cold_seconds=cold_seconds)

    def is_update(self, before: float, after: float) -> bool:
        return is_update_for_engine(self.engine(before), self.engine(after))

    def test_shorter_cold_time_is_no_update(self):
        self.assertFalse(self.is_update(3.0, 1.8))
        self.assertFalse(self.is_update(0.0, 0.0))

    def test_becoming_cold_or_warm_is_an_update(self):
        self.assertTrue(self.is_update(0.0, 3.0))
        self.assertTrue(self.is_update(1.8, 3.0))
        self.assertTrue(self.is_update(0.6, 0.0))

    def test_any_other_change_is_an_update(self):
        self.assertTrue(is_update_for_engine(self.engine(3.0), self.engine(1.8, slots=9)))
        self.assertTrue(is_update_for_engine(None, self.engine(1.8)))
        self.assertTrue(is_update_for_engine(self.engine(1.8), None))
