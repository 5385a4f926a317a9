"""A box that does not get the updates that its peers announce reads the store itself."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold.decider import Decider
from seamhold.lag_watch import LAG_SECONDS, LagWatch
from seamhold.metrics import Metrics
from seamhold.settings_task import SettingsTask
from seamhold_membership import Digest, UpdateLag
from seamhold_platform import ObjectKind
from seamhold_routing import Router

STEPS = st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9), st.floats(0, 1)), max_size=30)


class TestUpdateLag(testtools.TestCase):
    @given(STEPS)
    def test_the_lag_is_the_age_of_the_oldest_announcement_that_is_still_newer(self, steps):
        lag = UpdateLag()
        first_announced: dict[int, float] = {}
        own, now = 0, 0.0
        for version, applied, pause in steps:
            now += pause
            own = max(own, applied)
            lag.announce(version, own, now)
            # A version is no update if a newer one was announced before.
            if version > max([own, *first_announced]):
                first_announced[version] = now
            first_announced = {one: at for one, at in first_announced.items() if one > own}
            expected = now - min(first_announced.values(), default=now)
            self.assertAlmostEqual(expected, lag.seconds(own, now))


class TestLagWatch(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.start_box()

    def start_box(self) -> None:
        self.metrics = Metrics()
        self.decider = Decider(Router('box-0', 'a'), lambda: self.now)
        self.decider.watches_store = False
        self.decider.store_lost = False
        settings_task = SettingsTask(self.metrics, lambda tree: None)
        self.lag = LagWatch(self.decider, settings_task, self.metrics, lambda: self.now)

    def test_a_box_whose_pulls_fail_reads_the_store_after_half_of_the_bound(self):
        for kind, digest in (
            (ObjectKind.SETTINGS, Digest('b', 'a', settings_total=7)),
            (ObjectKind.ENGINES, Digest('b', 'a', engines_version=7)),
            (ObjectKind.EVACUATIONS, Digest('b', 'a', evacuations_version=7)),
        ):
            self.start_box()
            self.lag.record(digest)
            self.now += LAG_SECONDS - 0.01
            self.lag.check()
            self.assertFalse(self.decider.store_wanted.is_set(), kind)
            self.now += 0.02
            self.lag.check()
            self.assertTrue(self.decider.store_wanted.is_set(), kind)
            self.assertEqual({kind}, self.decider.lagging)
            self.assertEqual(1, self.metrics.counts()[f'updates.lagging_{kind}'])

    def test_a_box_that_got_the_update_reads_the_store_no_longer(self):
        self.lag.record(Digest('b', 'a', engines_version=7))
        self.now += LAG_SECONDS
        self.lag.check()
        self.decider.engines.put([], 7)
        self.lag.check()
        self.assertEqual(frozenset(), self.decider.lagging)
        self.assertFalse(self.decider.store_wanted.is_set())

    def test_a_series_of_updates_that_each_arrive_is_no_lag(self):
        for version in range(1, 100):
            self.lag.record(Digest('b', 'a', engines_version=version + 3))
            self.decider.engines.put([], version)
            self.now += 0.1
            self.assertEqual(frozenset(), self.decider.lagging)
