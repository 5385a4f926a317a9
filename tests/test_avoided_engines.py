"""Which engines count for the load bound although they get no work."""

import testtools

from seamhold_attempts.retry import Outcome
from seamhold_membership import EngineView
from seamhold_messages.fleet import Engine
from seamhold_routing.health import EngineHealth

SERVICE = 'llm'


class TestAvoidedEngines(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.view = EngineView()
        self.view.set_list([Engine(name, SERVICE, '', incarnation='1') for name in 'abc'], 0.0)

    def avoided(self) -> set[str]:
        return set(self.view.serving(SERVICE, 0.0).idle)

    def test_one_that_fails_more_often_than_others_counts(self):
        self.view.eject('a', 0.0)
        self.assertEqual({'a'}, self.avoided())

    def test_one_that_lost_answers_counts(self):
        self.view.record_failure('a', 0.0, 0.5)
        self.view.record_failure('a', 0.0, 0.5)
        self.assertEqual({'a'}, self.avoided())

    def test_one_that_refuses_connections_does_not_count(self):
        self.view.record_failure('a', 0.0)
        self.assertEqual(set(), self.avoided())

    def test_one_of_another_incarnation_than_expected_counts(self):
        EngineHealth(self.view).attempt_ended('a', Outcome.MISDIRECTED, 0.0)
        self.assertEqual({'a'}, self.avoided())

    def test_engines_are_not_avoided_if_no_other_serves(self):
        for name in 'abc':
            self.view.eject(name, 0.0)
        self.assertEqual(set(), self.avoided())

    def test_at_most_the_limit_is_avoided_and_those_due_back_first_serve(self):
        self.view.max_ejection_share = 1 / 3
        for now, name in enumerate('abc'):
            self.view.eject(name, now / 10)
        self.assertEqual({'c'}, set(self.view.serving(SERVICE, 0.3).idle))
        self.assertEqual({'a', 'b'}, set(self.view.serving(SERVICE, 0.3).engines))

    def test_one_engine_may_always_be_avoided(self):
        self.view.max_ejection_share = 0.0
        self.view.eject('a', 0.0)
        self.assertEqual({'a'}, self.avoided())

    def test_one_that_refuses_connections_is_not_counted_in_the_limit(self):
        self.view.max_ejection_share = 1 / 3
        self.view.record_failure('a', 0.0)
        self.view.eject('b', 0.0)
        self.assertEqual({'c'}, set(self.view.serving(SERVICE, 0.0).engines))

    def test_it_gets_work_again_once_it_answers(self):
        self.view.record_failure('a', 0.0)
        self.view.record_answer('a')
        self.assertEqual(set('abc'), set(self.view.serving(SERVICE, 0.0).engines))
