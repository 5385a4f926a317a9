"""Which engines count for the bound though they get no work."""

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

    def test_one_that_fails_more_than_its_siblings_lives(self):
        self.view.eject('a', 0.0)
        self.assertEqual({'a'}, self.avoided())

    def test_one_that_lost_answers_lives(self):
        self.view.record_failure('a', 0.0, 0.5)
        self.view.record_failure('a', 0.0, 0.5)
        self.assertEqual({'a'}, self.avoided())

    def test_one_that_refuses_connections_does_not(self):
        self.view.record_failure('a', 0.0)
        self.assertEqual(set(), self.avoided())

    def test_one_that_says_it_is_not_the_one_expected_lives(self):
        EngineHealth(self.view).ended('a', Outcome.MISDIRECTED, 0.0)
        self.assertEqual({'a'}, self.avoided())

    def test_those_that_serve_since_nobody_else_does_are_not_avoided(self):
        for name in 'abc':
            self.view.eject(name, 0.0)
        self.assertEqual(set(), self.avoided())

    def test_no_more_than_the_limit_are_and_those_go_first_whose_time_is_up_first(self):
        self.view.max_ejection_share = 1 / 3
        for now, name in enumerate('abc'):
            self.view.eject(name, now / 10)
        self.assertEqual({'c'}, set(self.view.serving(SERVICE, 0.3).idle))
        self.assertEqual({'a', 'b'}, set(self.view.serving(SERVICE, 0.3).engines))

    def test_one_always_may_be(self):
        self.view.max_ejection_share = 0.0
        self.view.eject('a', 0.0)
        self.assertEqual({'a'}, self.avoided())

    def test_one_that_refuses_connections_is_not_counted_in_the_limit(self):
        self.view.max_ejection_share = 1 / 3
        self.view.record_failure('a', 0.0)
        self.view.eject('b', 0.0)
        self.assertEqual({'c'}, set(self.view.serving(SERVICE, 0.0).engines))

    def test_it_is_served_again_once_it_answers(self):
        self.view.record_failure('a', 0.0)
        self.view.record_answer('a')
        self.assertEqual(set('abc'), set(self.view.serving(SERVICE, 0.0).engines))
