"""The engine view: outlier detection, phases, restarts and outages of the platform."""

from collections import Counter

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold_attempts.retry import Outcome
from seamhold_membership import (
    EngineView,
    FailureCounts,
    outliers,
)
from seamhold_membership.outliers import FAILURE_REPORT_SECONDS
from seamhold_membership.suspicion import SUSPICION_REPORT_SECONDS
from seamhold_messages.fleet import Engine, Phase
from seamhold_messages.hashing import hash32
from seamhold_messages.work import FailureReport, Suspect
from seamhold_routing.health import EngineHealth


def engine(name='e', incarnation='1', phase=Phase.LIVE):
    return Engine(name, 's', 'a', 'd', incarnation, phase=phase)


class TestOutliers(testtools.TestCase):
    SERVERS = ('a', 'b', 'c', 'd', 'e', 'f')

    def test_a_server_that_fails_far_more_than_the_others_is_found(self):
        failures = Counter(a=3, b=2, c=20, d=4)
        self.assertEqual(['c'], outliers(self.SERVERS, failures))

    def test_none_is_found_if_all_fail_alike(self):
        self.assertEqual([], outliers(self.SERVERS, Counter(dict.fromkeys(self.SERVERS, 40))))
        self.assertEqual([], outliers(self.SERVERS, Counter(a=40, b=38, c=41, d=39)))

    def test_a_few_failures_are_not_enough(self):
        self.assertEqual([], outliers(self.SERVERS, Counter(a=4)))

    @given(st.lists(st.integers(0, 100), min_size=1, max_size=30))
    def test_no_more_than_a_third_is_avoided(self, counts):
        failures = Counter({f's{number}': count for number, count in enumerate(counts)})
        servers = [f's{number}' for number in range(len(counts))]
        self.assertLessEqual(3 * len(outliers(servers, failures)), len(servers))

    def test_failures_of_all_boxes_add_up_and_expire(self):
        counts = FailureCounts()
        for now in (0.0, 1.0, 2.5):
            counts.record_failure('a', now)
        self.assertTrue(counts.record_report(FailureReport('other', 'a', 4, 1), 2.0))
        self.assertTrue(counts.record_report(FailureReport('other', 'b', 1, 1, age=0.5), 2.5))
        self.assertEqual({'a': 7, 'b': 1}, counts.totals(2.6))
        self.assertEqual({'a': 5, 'b': 1}, counts.totals(4.5))
        self.assertEqual({}, counts.totals(6.0))
        self.assertEqual({}, counts.own(6.0))

    def test_a_report_that_is_relayed_again_is_not_new(self):
        counts = FailureCounts()
        first = FailureReport('other', 'a', 4, 2**32 - 5)
        later = FailureReport('other', 'a', 2, 10)
        self.assertTrue(counts.record_report(first, 1.0))
        self.assertFalse(counts.record_report(first, 1.1))
        self.assertTrue(counts.record_report(later, 1.2))
        self.assertFalse(counts.record_report(first, 1.3))
        self.assertEqual({'a': 2}, counts.totals(1.4))

    def test_an_expired_report_is_not_new_however_often_it_comes(self):
        counts = FailureCounts()
        old = FailureReport('other', 'a', 4, 1, age=FAILURE_REPORT_SECONDS)
        self.assertTrue(counts.record_report(FailureReport('other', 'a', 4, 1), 1.0))
        counts.totals(1.0 + FAILURE_REPORT_SECONDS)
        self.assertFalse(counts.record_report(old, 1.0 + FAILURE_REPORT_SECONDS))
        self.assertFalse(counts.record_report(old, 9.0))

    def test_a_box_reports_failures_and_suspicions(self):
        view = EngineView()
        view.set_list([engine('a')], 0.0)
        health = EngineHealth(view)
        health.attempt_ended('a', Outcome.ANSWERED_FAILURE, 1.0)
        (report,) = health.new_reports('me', 1.1)
        self.assertEqual(('me', 'a', 1), (report.origin, report.engine, report.count))
        self.assertEqual(0, report.incarnation_key)
        self.assertEqual([], health.new_reports('me', 1.2))
        health.attempt_ended('a', Outcome.NOT_SENT, 1.3)
        (report,) = health.new_reports('me', 1.4)
        self.assertEqual(hash32('1'), report.incarnation_key)

    def test_a_full_engine_does_not_count_as_failing(self):
        health = EngineHealth(EngineView())
        for number in range(20):
            health.attempt_ended('full', Outcome.ENGINE_FULL, number / 10)
        health.attempt_ended('other', Outcome.ENGINE_REFUSED, 2.0)
        self.assertEqual({'other': 1}, health.failures.own(2.0))

    def test_an_outlier_is_avoided_although_it_answers_some_calls(self):
        view = EngineView(suspect_seconds=2)
        view.set_list([engine('a'), engine('b')], 0.0)
        self.assertTrue(view.eject('a', 0.0))
        view.record_answer('a')
        self.assertEqual({'b'}, set(view.serving('s', 1.0).engines))
        self.assertEqual({'a', 'b'}, set(view.serving('s', 2.1).engines))
        self.assertTrue(view.eject('a', 2.1))
        self.assertEqual(Phase.SUSPECT, view.phase('a', 5.9))
        self.assertEqual(Phase.LIVE, view.phase('a', 6.2))


class TestEngineView(testtools.TestCase):
    def test_after_one_failed_call_an_engine_is_avoided_for_a_while(self):
        view = EngineView(suspect_seconds=2)
        view.set_list([engine('a'), engine('b')], 0.0)
        view.record_failure('a', 0.0)
        self.assertEqual({'b'}, set(view.serving('s', 1.0).engines))
        self.assertEqual({'a', 'b'}, set(view.serving('s', 2.1).engines))

    def test_two_lost_answers_in_a_row_make_an_engine_suspect(self):
        view = EngineView(suspect_seconds=2)
        view.set_list([Engine('a', 's', ''), Engine('b', 's', '')], 0.0)
        self.assertFalse(view.record_failure('a', 0.0, 0.5))
        self.assertEqual(Phase.LIVE, view.phase('a', 0.1))
        view.record_answer('a')
        self.assertFalse(view.record_failure('a', 0.2, 0.5))
        self.assertTrue(view.record_failure('a', 0.3, 0.5))
        self.assertEqual(Phase.SUSPECT, view.phase('a', 0.4))

    def test_an_engine_replaced_at_its_address_is_gone_even_in_an_outage(self):
        view = EngineView()
        view.set_list([Engine('a@1', 's', 'a:1', started=1)], 0.0)
        view.record_failure('a@1', 1.0)
        view.outage_until = 20.0
        view.set_list([Engine('a@2', 's', 'a:1', started=2)], 2.0)
        self.assertEqual({'a@2'}, set(view.serving('s', 2.1).engines))

    def test_an_entry_without_a_start_among_others_with_one_is_ignored(self):
        with_start = [Engine(f'e{number}', 's', f'e:{number}', started=1) for number in range(3)]
        other = Engine('other', 's', 'o:1')
        view = EngineView()
        view.set_list([*with_start, other], 0.0)
        self.assertNotIn('other', view.serving('s', 0.0).engines)
        view.set_list([with_start[0], other, Engine('more', 's', 'm:1')], 1.0)
        self.assertEqual({'e0', 'other', 'more'}, set(view.serving('s', 1.0).engines))
        view.set_list([*with_start, other], 2.0)
        self.assertIn('other', view.serving('s', 2.0).engines)

    def test_an_engine_whose_entry_lapsed_in_an_outage_is_kept_for_a_while(self):
        view = EngineView()
        view.set_list([engine('a'), engine('b')], 0.0)
        view.outage_until = 12.0
        view.set_list([engine('b')], 10.0)
        self.assertEqual({'a', 'b'}, set(view.serving('s', 10.1).engines))
        view.set_list([engine('a'), engine('b')], 11.0)
        view.drop_unlisted(12.1)
        self.assertEqual({'a', 'b'}, set(view.serving('s', 12.1).engines))
        self.assertEqual({'a': 1.0, 'b': 1.0}, view.serving('s', 12.1).weights)

    def test_an_engine_still_off_the_list_after_an_outage_is_gone(self):
        view = EngineView()
        view.set_list([engine('a'), engine('b')], 0.0)
        view.outage_until = 12.0
        view.set_list([engine('b')], 10.0)
        view.drop_unlisted(12.1)
        self.assertEqual({'b'}, set(view.serving('s', 12.1).engines))
        self.assertEqual(Phase.GONE, view.phase('a', 12.1))

    def test_an_outage_does_not_bring_back_a_leaving_engine(self):
        view = EngineView()
        view.set_list([engine('a'), engine('b')], 0.0)
        view.mark_leaving('a', '1', 0.0)
        view.outage_until = 12.0
        view.set_list([engine('b')], 10.0)
        self.assertEqual({'b'}, set(view.serving('s', 10.1).engines))

    def test_if_all_engines_are_suspect_they_serve(self):
        view = EngineView()
        view.set_list([engine('a')], 0.0)
        view.record_failure('a', 0.0)
        self.assertEqual({'a'}, set(view.serving('s', 0.1).engines))

    def test_failures_in_a_row_extend_the_time_avoided(self):
        view = EngineView(suspect_seconds=1)
        view.set_list([engine('a'), engine('b')], 0.0)
        for _ in range(3):
            view.record_failure('a', 0.0)
        self.assertEqual(Phase.SUSPECT, view.phase('a', 3.9))
        self.assertEqual(Phase.LIVE, view.phase('a', 4.1))

    def test_leaving_is_sticky_until_a_new_start(self):
        view = EngineView()
        view.set_list([engine('a'), engine('b')], 0.0)
        view.mark_leaving('a', '1', 0.0)
        view.set_list([engine('a'), engine('b')], 1.0)
        self.assertEqual({'b'}, set(view.serving('s', 1.0).engines))
        view.set_list([engine('a', '2'), engine('b')], 2.0)
        self.assertEqual({'a', 'b'}, set(view.serving('s', 2.0).engines))

    def test_a_new_engine_starts_slowly(self):
        view = EngineView(rising_seconds=9)
        view.set_list([engine('a')], 0.0)
        view.set_list([engine('a'), engine('b')], 10.0)
        weights = [view.serving('s', now).weights['b'] for now in (10.0, 14.0, 17.0, 19.5)]
        self.assertEqual([0.25, 0.5, 0.75, 1.0], weights)
        self.assertEqual(1.0, view.serving('s', 10.0).weights['a'])

    def test_reports_by_several_boxes_make_an_engine_suspect(self):
        view = EngineView()
        view.set_list([engine('a'), engine('b')], 0.0)
        suspect = Suspect('a', hash32('1'))
        for box in ('box-1', 'box-2'):
            view.record_peer_suspicion(suspect, box, 0.0)
        self.assertEqual(Phase.LIVE, view.phase('a', 0.1))
        self.assertTrue(view.record_peer_suspicion(suspect, 'box-3', 0.0))
        self.assertEqual({'b'}, set(view.serving('s', 0.1).engines))
        self.assertEqual({'a', 'b'}, set(view.serving('s', 6.0).engines))

    def test_a_report_on_an_earlier_start_or_unknown_engine_is_ignored(self):
        view = EngineView()
        view.set_list([engine('a')], 0.0)
        self.assertFalse(view.record_peer_suspicion(Suspect('a', hash32('0')), 'box-1', 0.0))
        self.assertFalse(view.record_peer_suspicion(Suspect('b', hash32('1')), 'box-1', 0.0))

    def test_a_suspicion_is_reported_to_peers_for_a_short_while(self):
        view = EngineView()
        view.set_list([engine('a')], 0.0)
        self.assertTrue(view.record_failure('a', 1.0))
        self.assertEqual(hash32('1'), view.suspect_incarnation_key('a', 2.0))
        self.assertEqual(0, view.suspect_incarnation_key('a', 1.0 + SUSPICION_REPORT_SECONDS))
        view.record_failure('a', 9.0)
        self.assertEqual(hash32('1'), view.suspect_incarnation_key('a', 9.5))
        view.record_answer('a')
        self.assertEqual(0, view.suspect_incarnation_key('a', 9.6))
