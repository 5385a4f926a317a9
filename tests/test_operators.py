"""What operators order a box of the product's own protocol to do."""

import testtools

from seamhold.box_client import BoxClient
from seamhold.decisions import ReceiveEnd
from seamhold_quarantine import EndReport, EngineEnd

from .utils.stack import Stack

REQUEST = 'a-digest'


class TestOrders(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stack = Stack()
        self.addCleanup(self.stack.close)
        self.client = BoxClient(self.stack.operator_url)

    def standing(self) -> list[str]:
        return [case['standing'] for case in self.client.status()['quarantine']]

    def test_a_request_that_ended_engines_is_lifted(self):
        for engine in (1, 2):
            report = EndReport(REQUEST, 1, 'kitchen', EngineEnd(engine))
            self.stack.box.decider.query(ReceiveEnd(report)).result(5)
        self.assertEqual(['suspect'], self.standing())
        self.assertFalse(self.client.lift('unknown'))
        self.assertTrue(self.client.lift(REQUEST))
        self.assertEqual(['clear'], self.standing())

    def test_what_is_ordered_has_to_be_posted(self):
        for order in ('drain', 'lift'):
            answer = self.stack.http.request('GET', f'{self.stack.operator_url}/{order}')
            self.assertEqual(405, answer.status)
        self.assertTrue(self.client.status()['ready'])

    def test_a_planned_stop_begins(self):
        self.assertTrue(self.client.drain()['draining'])
