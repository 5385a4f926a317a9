"""Tests the operators' orders at a box that speaks the product's own protocol."""

import testtools

from seamhold.box_client import BoxClient
from seamhold.decisions import ReceiveEnds
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

    def test_lift_clears_a_request_that_ended_engines(self):
        for engine in (1, 2):
            report = EndReport(REQUEST, 1, 'kitchen', EngineEnd(engine))
            self.stack.box.decider.query(ReceiveEnds((report,))).result(5)
        self.assertEqual(['suspect'], self.standing())
        self.assertFalse(self.client.lift('unknown'))
        self.assertTrue(self.client.lift(REQUEST))
        self.assertEqual(['clear'], self.standing())

    def test_orders_require_post(self):
        for order in ('drain', 'lift'):
            answer = self.stack.http.request('GET', f'{self.stack.operator_url}/{order}')
            self.assertEqual(405, answer.status)
        self.assertTrue(self.client.status()['ready'])

    def test_drain_starts_a_planned_stop(self):
        self.assertTrue(self.client.drain()['draining'])
